#pragma once

#include <chrono>
#include <random>

#include "modules/coordination/clock.h"

namespace citrongrade {

// The Retry-After that refused callers are told.
//
// Load pattern: saturation, and callers that resend everything. A fixed
// Retry-After sends all that one second refused back in one later second, on
// top of that second's own load: refusals multiply and outlast the rush. This
// hands out moments to come back, one after another, no denser than
// `return_share` of the target's capacity; past `longest` they spread at random
// over the last half of it.
//
// Thread-confined.
class RetryAfterPacer {
 public:
  struct Parameters {
    // Part of the capacity that is left for callers who come back.
    double retry_capacity_share = 0.25;
    std::chrono::milliseconds min_retry_after{100};
    std::chrono::milliseconds max_retry_after{20'000};

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  RetryAfterPacer(const Clock& clock,
                  std::mt19937_64& random,
                  const Parameters& parameters);

  // `capacity_per_second`: requests that the target finishes now. The earliest
  // moment given out is `expected_wait` away.
  std::chrono::milliseconds NextRetryAfter(double capacity_per_second,
                                           Clock::Duration expected_wait);

 private:
  const Clock& m_clock;
  std::mt19937_64& m_random;
  Parameters m_parameters;
  Clock::TimePoint m_next_retry_time;
};

}  // namespace citrongrade
