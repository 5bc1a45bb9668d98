#include "modules/coordination/load/retry_after_pacer.h"

#include <algorithm>
#include <cstdint>

namespace citrongrade {

RetryAfterPacer::RetryAfterPacer(const Clock& clock,
                                 std::mt19937_64& random,
                                 const Parameters& parameters)
    : m_clock(clock),
      m_random(random),
      m_parameters(parameters),
      m_next_retry_time(clock.Now()) {}

std::chrono::milliseconds RetryAfterPacer::NextRetryAfter(
    double capacity_per_second,
    Clock::Duration expected_wait) {
  const Clock::TimePoint now = m_clock.Now();
  const Clock::Duration min_delay =
      std::max<Clock::Duration>(m_parameters.min_retry_after, expected_wait);
  const Clock::TimePoint retry_time =
      std::max(m_next_retry_time, now + min_delay);
  if (retry_time - now > m_parameters.max_retry_after) {
    const std::int64_t max_delay = m_parameters.max_retry_after.count();
    std::uniform_int_distribution<std::int64_t> spread(max_delay / 2,
                                                       max_delay);
    return std::chrono::milliseconds(spread(m_random));
  }
  const std::chrono::duration<double> interval(
      1.0 /
      (m_parameters.retry_capacity_share * std::max(capacity_per_second, 1.0)));
  m_next_retry_time =
      retry_time + std::chrono::duration_cast<Clock::Duration>(interval);
  return std::chrono::ceil<std::chrono::milliseconds>(retry_time - now);
}

}  // namespace citrongrade
