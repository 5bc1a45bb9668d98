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

// Which long bodies may be on their way to this node at the same time.
//
// Load pattern: bodies that ask for nearly all that a narrow link carries. Sent
// as they come they stand in the link, and short calls behind them arrive past
// their time. Here a body waits at its sender until there is room for it, so
// that the link holds kMostOnWay of them at most.
//
// Room is given back when a body has come, so that a link which carries other
// things too is asked for less by itself. Bodies that can still be there by
// their aim go first, among these the earlier; what has missed it goes when
// nothing better waits, as in TargetAdmission. What can't be there in time is
// refused the moment that shows: at the offer, or at the next Poll().
//
// How to use it: Offer() each body before it is sent, OnEnded() once for each
// that was granted, when it has come or won't. After that, and every 20 ms,
// Poll(). Thread-confined; never blocks.
class BodyTransferScheduler {
 public:
  struct Body {
    RequestTicket ticket;
    std::uint64_t bytes = 0;
    // Come by then it is worth most.
    Clock::TimePoint soft_deadline;
    // Come later it is worth nothing.
    Clock::TimePoint deadline;

    friend auto operator<=>(const Body&, const Body&) = default;
  };

  // What the link carries in this time may be on its way: more would hold up
  // calls that wait for some 100 ms, less would leave gaps between the bodies.
  // One body always may, however long.
  static constexpr std::chrono::milliseconds kMaxInFlightTime{50};
  // Bound on memory.
  static constexpr std::size_t kMaxWaiting = 512;

  enum class Verdict { kGranted, kQueued, kRefused };

  struct Changes {
    std::vector<RequestTicket> granted;
    std::vector<RequestTicket> refused;
  };

  BodyTransferScheduler(const Clock& clock, double bytes_per_second);

  Verdict Offer(const Body& body);
  // Also takes back one that waits.
  void OnFinished(RequestTicket ticket);
  Changes Poll();
  // When one that is refused now may find room.
  Clock::Duration DrainTime() const;

  std::size_t waiting() const { return m_waiting.size(); }
  std::uint64_t bytes_in_flight() const { return m_bytes_in_flight; }

 private:
  Clock::Duration TransferTime(std::uint64_t bytes) const;
  bool HasCapacityFor(std::uint64_t bytes) const;
  void Grant(const Body& body);
  // The next to be granted; one must wait.
  std::map<RequestTicket, Body>::iterator FindNext();

  const Clock& m_clock;
  const double m_bytes_per_second;
  std::map<RequestTicket, std::uint64_t> m_in_flight;
  std::uint64_t m_bytes_in_flight = 0;
  // By ticket, which is the order in which they came.
  std::map<RequestTicket, Body> m_waiting;
  std::uint64_t m_bytes_waiting = 0;
};

}  // namespace citrongrade
