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
#include "modules/coordination/load/short_call_reserve.h"
#include "modules/coordination/load/target_rate_limiter.h"

namespace citrongrade {

// Decides which requests one target runs now, which wait in a queue and which
// are refused.
//
// Without it, requests beyond the target's concurrency would queue inside the
// target in order of arrival, where urgent ones wait behind others and expired
// ones are still run. That happens in bursts in which many requests arrive at
// once, for a hot range of keys until it has been spread, and at saturation.
//
// The queue is ordered as follows. Requests that can still be answered by their
// soft deadline (arrival plus the route's target latency) go first, among these
// the higher priority, then the earlier arrival. A request that has missed its
// soft deadline runs when nothing better waits, as its caller may still wait
// for it. Without that second class a burst makes every answer late: 0.9 s of
// excess work delays all that comes after it until the excess has drained.
//
// Among requests of equal priority, short ones go before long ones; a request
// is short if its route's service time is less than half of the longest
// route's. Calls between targets are short and have short deadlines, uploads of
// callers are long and have long deadlines. In order of arrival, the calls at a
// saturated target were late first and ran last, and each one that failed also
// failed the request of the other target that had made it. Short requests
// aren't put back for being late either, because the request that made the call
// still needs the answer: on a day on which calls had two of four targets left,
// 1,040 of 3,292 such requests failed because their calls were put back. Short
// requests leave the share kShareReservedForLong of the concurrency to long
// requests that wait, so that they can't starve them.
//
// With Parameters::reserves_slots_for_short, long requests also leave free what
// short ones need, as ShortCallReserve computes it: without that, a call that
// arrives while all slots run long requests waits for one of them to end.
// The reserve is at most a quarter of the slots. Short requests that need more
// compete for the others as they do without it.
//
// A request that can't be answered before its deadline is refused as soon as
// this is known: by Offer(), or by the next Poll(). Where the target's rate is
// limited, the wait is known well, so that one which can't be answered by its
// soft deadline is refused as well, and one that other targets may run doesn't
// wait at all: without that, callers wait at the one target that takes little
// while others are idle, or for an answer that never comes.
//
// Usage: call Offer() for each request, run the admitted ones and call
// OnFinished() once for each. Call Poll() after that, and every 20 ms.
// Thread-confined; never blocks.
//
// See also AdmissionController, which shares a target among callers.
class TargetAdmission {
 public:
  struct Parameters {
    // Number of requests that the target runs at once.
    std::size_t concurrency = 1;
    // Used for a route until its service time has been measured.
    std::chrono::milliseconds initial_service_time{120};
    // Reserved for the answer to reach the caller.
    std::chrono::milliseconds response_transit_time{20};
    // Bounds memory use; with this many waiting, an answer takes seconds.
    std::size_t max_waiting = 512;
    // Keeps slots free of long requests for short ones.
    bool reserves_slots_for_short = false;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  struct Request {
    RequestTicket ticket;
    // Requests of one route have similar service times.
    std::string route;
    // 0 is the highest priority.
    std::uint32_t priority = 0;
    // Arrival plus the target latency of the route.
    Clock::TimePoint soft_deadline;
    // The caller stops waiting at this time.
    Clock::TimePoint deadline;
    // Other targets may run it too.
    bool can_go_elsewhere = false;

    friend auto operator<=>(const Request&, const Request&) = default;
  };

  // Share of the concurrency that short requests leave free while long ones
  // wait.
  static constexpr double kShareReservedForLong = 0.25;

  enum class Verdict { kAdmitted, kQueued, kRefused };

  struct Changes {
    std::vector<RequestTicket> admitted;
    std::vector<RequestTicket> refused;
  };

  TargetAdmission(const Clock& clock, const Parameters& parameters);

  Verdict Offer(const Request& request);
  // `service_time`: how long the target took, or nullopt if the measured time
  // isn't representative.
  void OnFinished(RequestTicket ticket,
                  std::optional<Clock::Duration> service_time);
  Changes Poll();
  // Removes a waiting request. Returns false if it isn't waiting.
  bool Withdraw(RequestTicket ticket);

  // Call this when the target announces another concurrency.
  void SetConcurrency(std::size_t concurrency) {
    m_parameters.concurrency = concurrency;
  }
  // No request can be answered after `time`: this node stops. Requests that
  // wait, and later ones, get no later deadline than this.
  void LimitDeadlines(Clock::TimePoint time) { m_latest_deadline = time; }
  // The target gets requests only as its limiter allows. The caller has to keep
  // the limiter's state up to date, and asks it again when it sends.
  TargetRateLimiter& rate_limiter() { return m_rate_limiter; }
  const TargetRateLimiter& rate_limiter() const { return m_rate_limiter; }
  // Time until the waiting requests have been worked off, after which a request
  // of the route that is refused now may be admitted.
  Clock::Duration DrainTime(const std::string& route) const;

  std::size_t running() const { return m_running.size(); }
  std::size_t waiting() const { return m_waiting.size(); }
  // Slots that are kept free of long requests now.
  std::size_t reserved_slots() const;
  // Mean service time of the route. While it is unknown, that of all requests;
  // with reserved slots at most the initial one.
  Clock::Duration ExpectedServiceTime(const std::string& route) const;
  // Mean over all requests, regardless of their route.
  Clock::Duration mean_service_time() const { return m_mean_service_time; }

 private:
  struct Rank {
    bool is_late = false;
    std::uint32_t priority = 0;
    bool is_long = false;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const Rank&, const Rank&) = default;
  };

  using Queue = std::map<Rank, Request>;

  // Requests that go before another one in the queue.
  struct Ahead {
    std::size_t short_requests = 0;
    std::size_t long_requests = 0;

    void Add(const Rank& rank) {
      ++(rank.is_long ? long_requests : short_requests);
    }
    std::size_t total() const { return short_requests + long_requests; }

    friend auto operator<=>(const Ahead&, const Ahead&) = default;
  };

  struct SlotUse {
    std::size_t slots = 1;
    std::size_t running = 0;
    // Mean.
    Clock::Duration service_time{0};

    friend auto operator<=>(const SlotUse&, const SlotUse&) = default;
  };

  // Latest start that leaves the `share` of the expected service time before
  // the deadline.
  Clock::TimePoint LatestStart(const Request& request, double share) const;
  // Whether the request may wait with `ahead` others before it. `slot_wait`:
  // expected time until the target has a free slot for it.
  bool IsWorthWaiting(const Request& request,
                      const Ahead& ahead,
                      Clock::Duration slot_wait) const;
  Rank RankOf(const Request& request, std::uint64_t sequence) const;
  // The slots that requests of the class may use. Without reserved slots there
  // are no classes.
  SlotUse SlotUseOf(bool is_long) const;
  // How many of the requests ahead use the slots of the class.
  std::size_t CountAhead(const Ahead& ahead, bool is_long) const;
  // Expected time until one of the slots is free for a request that has `ahead`
  // others before it in the queue.
  static Clock::Duration EstimateWaitForSlot(const SlotUse& use,
                                             std::size_t ahead);
  // Removes the waiting requests that can't be answered before their deadlines.
  void RefuseUnmeetable(Changes& changes);
  void UpdateRanks();
  void UpdateServiceTimes(const std::string& route, Clock::Duration sample);
  bool IsLong(const std::string& route) const;
  std::size_t CountRunning(bool is_long) const;
  // The next request to admit; the end of the queue if there is none. The queue
  // must not be empty.
  Queue::iterator FindNext();
  // The waiting long request that goes before `first`, a short one; `first` if
  // there is none.
  Queue::iterator FindLongInsteadOf(Queue::iterator first);
  // Slots that short requests may have before long ones that wait.
  std::size_t SlotsForShort() const;
  std::size_t SlotsForLong() const;
  bool HasCapacityForShort() const;
  bool HasCapacityForLong() const;
  // Whether a request could be admitted now if nothing waited.
  bool HasCapacity() const;
  // Whether a new request could be admitted now, before all that waits.
  bool CanStartAtOnce(bool is_long) const;
  void Admit(Request request);

  const Clock& m_clock;
  Parameters m_parameters;
  TargetRateLimiter m_rate_limiter;
  std::map<RequestTicket, Request> m_running;
  Queue m_waiting;
  std::uint64_t m_next_sequence = 1;
  Clock::TimePoint m_latest_deadline = Clock::TimePoint::max();
  std::map<std::string, Clock::Duration> m_service_times;
  Clock::Duration m_mean_service_time;
  // Of the route with the longest one.
  Clock::Duration m_longest_service_time{0};
  Clock::Duration m_mean_long_service_time;
  // Empty if no slots are reserved.
  std::optional<ShortCallReserve> m_short_call_reserve;
};

}  // namespace citrongrade
