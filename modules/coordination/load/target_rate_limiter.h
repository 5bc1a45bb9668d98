#pragma once

#include <compare>
#include <cstddef>
#include <optional>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/request_pacer.h"

namespace citrongrade {

// Limits the rate of requests to one target, to what it takes while it is cold
// and to the limit that it names. Of the limits in force each binds; they are
// counted over different spans, so that no one rate stands for both.
//
// Load patterns: a target has just started, or its whole zone comes back, in
// the middle of traffic. It has no requests yet, so it looks like the best
// choice and gets its full share at once, crashes by that, and comes back cold.
// Or a target in need names the requests a second that it takes from all nodes
// together, and goes on getting its full share. With the limiter it gets what
// it takes, and the rest goes elsewhere or is refused at once.
//
// All requests of a target pass the node beside it, which has the one limiter
// of the target. Thread-confined.
class TargetRateLimiter {
 public:
  struct ColdLimit {
    // Requests per second. Zero: no limit.
    double rate = 0;
    // Requests beyond the rate in any second.
    double burst = 0;

    friend auto operator<=>(const ColdLimit&, const ColdLimit&) = default;
  };

  explicit TargetRateLimiter(const Clock& clock);

  void SetColdLimit(const ColdLimit& limit);
  void SetColdUntil(Clock::TimePoint until) { m_cold_until = until; }
  // Requests per second that the target takes; empty if it names no limit. A
  // target that takes none gets one now and then all the same: only an answer
  // can tell that it takes some again.
  void SetNamedLimit(std::optional<double> rate);

  // Requests to the target are limited now.
  bool IsLimiting() const;
  // Strictest rate in force, in requests per second; empty if there is none.
  std::optional<double> Rate() const;
  // Time until a request can be admitted that has `ahead` others before it.
  // Zero if that is now.
  Clock::Duration TimeUntilAdmission(std::size_t ahead) const;
  // Counts each request that is admitted, also while there is no limit: the
  // target may be cold a moment later.
  void OnAdmitted();
  // Call this right before an admitted request is sent. Returns false if it
  // must not be sent.
  bool TrySend();

 private:
  bool IsColdLimiting() const;

  const Clock& m_clock;
  ColdLimit m_cold_limit;
  RequestPacer m_cold_pacer;
  Clock::TimePoint m_cold_until;
  std::optional<double> m_named_rate;
  // Empty until a limit is named. What was sent without a limit doesn't count;
  // what was sent under one stays counted if it ends and is named again.
  std::optional<RequestPacer> m_named_pacer;
};

}  // namespace citrongrade
