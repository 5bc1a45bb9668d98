#include "modules/coordination/load/service_time_estimator.h"

#include <chrono>

namespace citrongrade {

namespace {

// Gains from RFC 6298: one eighth for the mean, a quarter for the deviation.
constexpr int kMeanGain = 8;
constexpr int kDeviationGain = 4;

}  // namespace

ServiceTimeEstimator::ServiceTimeEstimator(Clock::Duration initial)
    : m_mean(initial) {}

void ServiceTimeEstimator::OnSample(Clock::Duration latency) {
  if (!m_has_sample) {
    m_has_sample = true;
    m_mean = latency;
    m_deviation = latency / 2;
    return;
  }
  const Clock::Duration error = latency - m_mean;
  m_deviation += (std::chrono::abs(error) - m_deviation) / kDeviationGain;
  m_mean += error / kMeanGain;
}

}  // namespace citrongrade
