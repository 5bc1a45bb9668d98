#pragma once

#include <chrono>
#include <random>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Computes the Retry-After values of refused requests.
//
// Load pattern: saturation, and callers that resend everything. A fixed
// Retry-After sends all requests that one second refused back in one later
// second, on top of that second's own load: refusals multiply and outlast the
// burst. This class assigns retry times one after another, at a rate of at most
// `retry_capacity_share` of the target's capacity. Values above
// `max_retry_after` are replaced by random ones from its upper half.
//
// Thread-confined.
class RetryAfterPacer {
 public:
  struct Parameters {
    // Share of the capacity that is reserved for callers who retry.
    double retry_capacity_share = 0.25;
    std::chrono::milliseconds min_retry_after{100};
    std::chrono::milliseconds max_retry_after{20'000};

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  RetryAfterPacer(const Clock& clock,
                  std::mt19937_64& random,
                  const Parameters& parameters);

  // `capacity_per_second`: requests per second that the target currently
  // finishes. The result is at least `expected_wait`, unless that exceeds
  // `max_retry_after`.
  std::chrono::milliseconds NextRetryAfter(double capacity_per_second,
                                           Clock::Duration expected_wait);

 private:
  const Clock& m_clock;
  std::mt19937_64& m_random;
  Parameters m_parameters;
  Clock::TimePoint m_next_retry_time;
};

}  // namespace citrongrade
