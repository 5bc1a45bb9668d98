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
  const Clock::Duration least =
      std::max<Clock::Duration>(m_parameters.min_retry_after, expected_wait);
  const Clock::TimePoint moment = std::max(m_next_retry_time, now + least);
  if (moment - now > m_parameters.max_retry_after) {
    const std::int64_t longest = m_parameters.max_retry_after.count();
    std::uniform_int_distribution<std::int64_t> spread(longest / 2, longest);
    return std::chrono::milliseconds(spread(m_random));
  }
  const std::chrono::duration<double> step(
      1.0 /
      (m_parameters.retry_capacity_share * std::max(capacity_per_second, 1.0)));
  m_next_retry_time =
      moment + std::chrono::duration_cast<Clock::Duration>(step);
  return std::chrono::ceil<std::chrono::milliseconds>(moment - now);
}

}  // namespace citrongrade
