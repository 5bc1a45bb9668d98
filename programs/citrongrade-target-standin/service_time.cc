#include "programs/citrongrade-target-standin/service_time.h"

#include <chrono>
#include <cmath>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "programs/citrongrade-target-standin/target_settings.h"

namespace citrongrade {

namespace {

// Standard deviation of the logarithm: the 99th percentile is about 6 times
// the mean, as with services that now and then wait for something.
constexpr double kLogDeviation = 1.0;

}  // namespace

class ServiceTime::Implementation {
 public:
  explicit Implementation(const TargetSettings& settings)
      : m_shape(settings.service_time_shape),
        m_mean_us(static_cast<double>(settings.service_time_us)),
        m_long_share(settings.long_share),
        m_long_us(static_cast<double>(settings.long_time_us)),
        m_random(settings.seed) {}

  std::chrono::microseconds Next() {
    const std::lock_guard lock(m_mutex);
    const bool is_long = m_uniform(m_random) < m_long_share;
    const double factor = DrawFactor();
    return std::chrono::microseconds(
        std::llround((is_long ? m_long_us : m_mean_us) * factor));
  }

 private:
  // Mean 1.
  double DrawFactor() {
    if (m_shape == "exponential")
      return std::exponential_distribution<double>(1.0)(m_random);
    if (m_shape == "lognormal") {
      return std::lognormal_distribution<double>(
          -kLogDeviation * kLogDeviation / 2, kLogDeviation)(m_random);
    }
    return 1;
  }

  std::mutex m_mutex;
  std::string m_shape;
  double m_mean_us;
  double m_long_share;
  double m_long_us;
  std::mt19937_64 m_random;
  std::uniform_real_distribution<double> m_uniform;
};

ServiceTime::ServiceTime(const TargetSettings& settings)
    : m_implementation(std::make_unique<Implementation>(settings)) {}

ServiceTime::~ServiceTime() = default;

bool ServiceTime::IsShape(const std::string& name) {
  return name == "fixed" || name == "exponential" || name == "lognormal";
}

std::chrono::microseconds ServiceTime::Next() {
  return m_implementation->Next();
}

}  // namespace citrongrade
