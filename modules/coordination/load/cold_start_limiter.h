#pragma once

#include <cstddef>
#include <deque>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Limits the rate of requests to a target that is cold.
//
// Load pattern: a target has just started, or its whole zone comes back, in the
// middle of traffic. It has no requests yet, so it looks like the best choice
// and gets its full share at once. A cold target crashes by that, and comes
// back cold. With the limit it gets what it bears, and the rest goes elsewhere
// or is refused at once.
//
// Requests are paced by a token bucket when they are admitted. What is admitted
// may be sent in a bunch, as connections take time, so the requests of the last
// second are counted again when they are sent. A new limiter has no tokens: an
// earlier process of this node may have just spent them.
//
// All requests of a target pass the node beside it, which has the one limiter
// of the target. Thread-confined.
class ColdStartLimiter {
 public:
  struct Parameters {
    // Requests per second. Zero: no limit.
    double rate = 0;
    // Requests beyond the rate in any second.
    double burst = 0;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  explicit ColdStartLimiter(const Clock& clock);

  void SetParameters(const Parameters& parameters) {
    m_parameters = parameters;
  }
  void SetColdUntil(Clock::TimePoint until) { m_cold_until = until; }

  // The target is cold and its requests are limited.
  bool IsLimiting() const;
  // Time until a request can be admitted that has `ahead` others before it.
  // Zero if that is now.
  Clock::Duration TimeUntilAdmission(std::size_t ahead) const;
  // Counts each request that is admitted, also while the target is warm: it may
  // be cold a moment later.
  void OnAdmitted();
  // Call this right before an admitted request is sent. Returns false if it
  // must not be sent.
  bool TrySend();

 private:
  double TokensAt(Clock::TimePoint now) const;

  const Clock& m_clock;
  Parameters m_parameters;
  Clock::TimePoint m_cold_until;
  double m_tokens = 0;
  Clock::TimePoint m_counted_at;
  // When the requests of the last second were sent.
  std::deque<Clock::TimePoint> m_sent;
};

}  // namespace citrongrade
