#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"

namespace citrongrade {

// Limits and orders the long request bodies that are sent to this node at the
// same time.
//
// Load pattern: bodies that need nearly all the capacity of a narrow link. Sent
// as they come they queue in the link, and short calls behind them arrive after
// their deadline. Here a body waits at its sender until this node grants its
// transfer, so that the link never holds more than kMaxInFlightTime of them.
//
// A body frees its share of the link when it has arrived, so a link that also
// carries other traffic is automatically granted less. Bodies that can still
// arrive by their soft deadline go first, in order of arrival; one that has
// missed it goes when no other is left, as in TargetAdmission. A body that
// can't arrive by its deadline is refused as soon as this is known: at the
// offer, or at the next Poll().
//
// Usage: call Offer() for each body before it is sent, and OnFinished() once
// for each granted one, when it has arrived or failed. Call Poll() after that,
// and every 20 ms. Thread-confined; never blocks.
class BodyTransferScheduler {
 public:
  struct Body {
    RequestTicket ticket;
    std::uint64_t bytes = 0;
    // Arriving by then, it is worth most.
    Clock::TimePoint soft_deadline;
    // Arriving later, it is worth nothing.
    Clock::TimePoint deadline;

    friend auto operator<=>(const Body&, const Body&) = default;
  };

  // Bound on the bodies in flight, as the time that the link needs for them.
  // More would delay calls that wait for about 100 ms, less would leave the
  // link idle between bodies. A single body is always granted, whatever its
  // length.
  static constexpr std::chrono::milliseconds kMaxInFlightTime{50};
  // Bounds the memory.
  static constexpr std::size_t kMaxWaiting = 512;

  enum class Verdict { kGranted, kQueued, kRefused };

  struct Changes {
    std::vector<RequestTicket> granted;
    std::vector<RequestTicket> refused;
  };

  BodyTransferScheduler(const Clock& clock, double bytes_per_second);

  Verdict Offer(const Body& body);
  // Also removes a queued body.
  void OnFinished(RequestTicket ticket);
  Changes Poll();
  // Time until a body that is refused now may be granted: the link time of all
  // bodies in flight or queued.
  Clock::Duration DrainTime() const;

  std::size_t waiting() const { return m_waiting.size(); }
  std::uint64_t bytes_in_flight() const { return m_bytes_in_flight; }

 private:
  Clock::Duration TransferTime(std::uint64_t bytes) const;
  bool HasCapacityFor(std::uint64_t bytes) const;
  void Grant(const Body& body);
  // The body to grant next; the queue must not be empty.
  std::map<RequestTicket, Body>::iterator FindNext();

  const Clock& m_clock;
  const double m_bytes_per_second;
  std::map<RequestTicket, std::uint64_t> m_in_flight;
  std::uint64_t m_bytes_in_flight = 0;
  // By ticket, which is the order of arrival.
  std::map<RequestTicket, Body> m_waiting;
  std::uint64_t m_bytes_waiting = 0;
};

}  // namespace citrongrade
