#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"

namespace citrongrade {

// Which requests one target runs now, which wait, and which are turned away.
//
// Load patterns: a burst in which everyone arrives at once; a hot range of keys
// until it has been spread; saturation. Requests beyond the target's slots
// would queue inside it, first come first served, where urgent ones wait behind
// others and late ones are run for nobody. Here they wait in order: those that
// can still be answered within their route's target latency first, among these
// the more urgent, then the earlier. One that has missed its target latency
// runs when there is nothing better to do, as its caller may still wait for it.
// Without that second class a burst makes every answer late: 0.9 s of excess
// work makes all that come after it late until the excess has drained.
//
// Among equally urgent ones short work goes before long (kinds whose work is
// less than half of the longest kind's). Calls that targets make are short and
// wait for little time, callers' uploads are long and wait for much: in turn,
// the calls of a saturated target were late first and run last, and each that
// failed took a request of another target with it. Short work is not put back
// for being late either: the request that made the call is still wanted, and
// ends with it (1,040 of 3,292 on a day on which calls had two of four targets
// left). Short work leaves kLongShare
// of the slots to long work that waits, so that it can't shut it out.
//
// What can't be answered before its caller gives up is refused the moment that
// shows: at the offer, or at the next Poll().
//
// How to use it: Offer() each request, run what is admitted, OnFinished() once
// for each. After that, and every 20 ms, Poll(). Thread-confined; never blocks.
// Kin: AdmissionController, which shares a target among callers instead.
class TargetAdmission {
 public:
  struct Parameters {
    // Requests that the target runs at once.
    std::size_t concurrency = 1;
    // Until a kind's work has been measured.
    std::chrono::milliseconds initial_service_time{120};
    // For the answer's way back to the caller.
    std::chrono::milliseconds response_transit_time{20};
    // Bound on memory: an answer takes seconds by then.
    std::size_t max_waiting = 512;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  struct Request {
    RequestTicket ticket;
    // Requests of one kind take about as long as each other: their route.
    std::string route;
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    // Answered by then it is worth most.
    Clock::TimePoint soft_deadline;
    // Its caller waits no longer.
    Clock::TimePoint deadline;

    friend auto operator<=>(const Request&, const Request&) = default;
  };

  // Part of the slots that short work leaves free while long work waits.
  static constexpr double kShareReservedForLong = 0.25;

  enum class Verdict { kAdmitted, kQueued, kRefused };

  struct Changes {
    std::vector<RequestTicket> admitted;
    std::vector<RequestTicket> refused;
  };

  TargetAdmission(const Clock& clock, const Parameters& parameters);

  Verdict Offer(const Request& request);
  // `work`: how long the target took; nothing when that says nothing.
  void OnFinished(RequestTicket ticket, std::optional<Clock::Duration> work);
  Changes Poll();
  // Takes back one that waits; false when it doesn't.
  bool Withdraw(RequestTicket ticket);

  // The target declared another number of slots.
  void SetConcurrency(std::size_t slots) { m_parameters.concurrency = slots; }
  // When one that is refused now may find room: what waits has been worked off
  // by then.
  Clock::Duration DrainTime() const;

  std::size_t running() const { return m_running.size(); }
  std::size_t waiting() const { return m_waiting.size(); }
  // How long a request of the kind usually takes.
  Clock::Duration ExpectedServiceTime(const std::string& kind) const;
  // Of all kinds, each request counted once.
  Clock::Duration mean_service_time() const { return m_mean_service_time; }

 private:
  struct Rank {
    bool is_late = false;
    std::uint32_t priority = 0;
    bool is_long = false;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const Rank&, const Rank&) = default;
  };

  // After this, less than `part` of its usual work could be done in time.
  Clock::TimePoint LatestStart(const Request& request, double part) const;
  Rank RankOf(const Request& request, std::uint64_t sequence) const;
  // How long the places that run and `ahead` others take until one is free.
  Clock::Duration EstimateWait(std::size_t ahead) const;
  void UpdateRanks();
  bool IsLong(const std::string& kind) const;
  // The next to be admitted; the caller must know that one waits.
  std::map<Rank, Request>::iterator FindNext();
  bool HasCapacityForShort() const;

  const Clock& m_clock;
  Parameters m_parameters;
  std::map<RequestTicket, Request> m_running;
  std::map<Rank, Request> m_waiting;
  std::uint64_t m_next_sequence = 1;
  std::map<std::string, Clock::Duration> m_service_times;
  Clock::Duration m_mean_service_time;
  // Of the kind that takes longest.
  Clock::Duration m_longest_service_time{0};
};

}  // namespace citrongrade
