#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Decides when a node that stops withdraws the requests that it has forwarded
// to other nodes and that may still wait there.
//
// Load pattern: all slots of a target run work that takes seconds, and the node
// that forwarded the requests waiting for them gets SIGTERM. Without a
// withdrawal their callers would get no response, and the requests would run
// for nobody.
//
// A request is withdrawn once less than its target latency is left, so that it
// gets its chance to run before that. Since a withdrawal may overtake its
// request, or be lost, it is repeated until the request has ended. Requests
// that are sent after the shutdown has begun need none: their time limit ends
// before the shutdown does.
//
// Thread-confined.
class WithdrawalSchedule {
 public:
  // What one node is asked to withdraw.
  struct Batch {
    std::string node;
    std::vector<std::string> request_ids;

    friend auto operator<=>(const Batch&, const Batch&) = default;
  };

  // Identifies one attempt of a request.
  using AttemptId = std::uint64_t;

  // Least time before the end at which a request is withdrawn: enough for the
  // call, a repetition, and the response.
  static constexpr std::chrono::milliseconds kMinLead{1000};
  static constexpr std::chrono::milliseconds kRepeatInterval{300};

  explicit WithdrawalSchedule(const Clock& clock) : m_clock(clock) {}

  // Call OnEnded() once for each attempt.
  AttemptId OnSent(const std::string& node,
                   const std::string& request_id,
                   Clock::Duration target_latency);
  void OnEnded(AttemptId attempt) { m_attempts.erase(attempt); }
  // No response can be passed on after `end`.
  void BeginShutdown(Clock::TimePoint end);
  // Returns the withdrawals to send now. Call it every 25 ms.
  std::vector<Batch> TakeDue();
  // The node doesn't know withdrawals: it gets no more of them.
  void OnUnknownToNode(const std::string& node) { m_unaware.insert(node); }

  std::size_t outstanding() const { return m_attempts.size(); }

 private:
  struct Attempt {
    std::string node;
    std::string request_id;
    Clock::Duration target_latency{0};
    // When it is withdrawn, or withdrawn again.
    Clock::TimePoint due = Clock::TimePoint::max();
  };

  const Clock& m_clock;
  std::map<AttemptId, Attempt> m_attempts;
  std::set<std::string> m_unaware;
  AttemptId m_next_attempt = 1;
  bool m_is_shutting_down = false;
};

}  // namespace citrongrade
