#include "modules/coordination/load/retry_backoff.h"

#include <algorithm>
#include <cstdint>

namespace citrongrade {

namespace {

// After this many doublings every delay is the maximum; a shift by more bits
// than the type has would be undefined.
constexpr unsigned kMaxDoublings = 20;

}  // namespace

RetryBackoff::RetryBackoff(std::mt19937_64& random,
                           const Parameters& parameters)
    : m_random(random), m_parameters(parameters) {}

std::chrono::milliseconds RetryBackoff::Delay(
    unsigned retry,
    std::chrono::milliseconds retry_after) {
  const std::int64_t factor = std::int64_t{1} << std::min(retry, kMaxDoublings);
  const auto ceiling =
      std::min(m_parameters.max_delay, m_parameters.initial_delay * factor);
  std::uniform_int_distribution<std::int64_t> jitter(0, ceiling.count());
  return retry_after + std::chrono::milliseconds(jitter(m_random));
}

}  // namespace citrongrade
