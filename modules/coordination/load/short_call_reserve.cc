#include "modules/coordination/load/short_call_reserve.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace citrongrade {

namespace {

// Within one time constant the rate follows a change by about two thirds.
constexpr double kRateTimeConstantSeconds = 1;
// Weight of the newest sample in the mean service time.
constexpr double kSampleWeight = 0.1;

}  // namespace

ShortCallReserve::ShortCallReserve(const Clock& clock)
    : m_clock(clock), m_rate_updated_at(clock.Now()) {}

void ShortCallReserve::OnArrival() {
  m_rate = Rate() + 1 / kRateTimeConstantSeconds;
  m_rate_updated_at = m_clock.Now();
}

void ShortCallReserve::OnFinished(Clock::Duration service_time) {
  if (!m_mean_service_time) {
    m_mean_service_time = service_time;
    return;
  }
  const auto change = (service_time - *m_mean_service_time) * kSampleWeight;
  *m_mean_service_time += std::chrono::duration_cast<Clock::Duration>(change);
}

double ShortCallReserve::Rate() const {
  const std::chrono::duration<double> age = m_clock.Now() - m_rate_updated_at;
  return m_rate * std::exp(-age.count() / kRateTimeConstantSeconds);
}

std::size_t ShortCallReserve::ReservedOf(std::size_t slots) const {
  const double rate = Rate();
  if (rate <= kMinRate)
    return 0;
  const std::chrono::duration<double> service_time = mean_service_time();
  const double demand = rate * service_time.count();
  const double needed = std::ceil(demand + std::sqrt(demand));
  const double most = std::floor(static_cast<double>(slots) * kMaxShare);
  return static_cast<std::size_t>(std::min(needed, most));
}

}  // namespace citrongrade
