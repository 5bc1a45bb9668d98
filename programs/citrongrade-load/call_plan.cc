#include "programs/citrongrade-load/call_plan.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "programs/citrongrade-load/load_settings.h"
#include "programs/citrongrade-load/planned_call.h"
#include "programs/citrongrade-load/zipf_distribution.h"

namespace citrongrade {

using std::chrono::microseconds;

class CallPlan::Implementation {
 public:
  explicit Implementation(const LoadSettings& settings)
      : m_settings(settings),
        m_random(settings.seed),
        m_keys(settings.keys, settings.key_skew),
        m_callers(settings.callers, settings.caller_skew) {}

  std::optional<PlannedCall> Next() {
    if (!AdvanceToArrival())
      return std::nullopt;
    PlannedCall call;
    call.due = microseconds(std::llround(m_seconds * 1e6));
    call.id = "call-" + std::to_string(m_settings.seed) + "-" +
              std::to_string(++m_count);
    call.key = "key-" + std::to_string(m_keys.Draw(m_random));
    call.caller = m_callers.Draw(m_random);
    call.kind = DrawKind();
    return call;
  }

 private:
  // Thinning: arrivals at the highest rate, each kept with the share that the
  // rate of its moment has of it.
  bool AdvanceToArrival() {
    const double highest = HasBursts()
                               ? m_settings.calls_per_second *
                                     std::max(1.0, m_settings.burst_factor)
                               : m_settings.calls_per_second;
    std::exponential_distribution<double> gap(highest);
    const double end =
        std::chrono::duration<double>(m_settings.duration).count();
    do {
      m_seconds += gap(m_random);
    } while (m_seconds < end &&
             m_uniform(m_random) * highest > RateAt(m_seconds));
    return m_seconds < end;
  }

  bool HasBursts() const { return m_settings.burst_every.count() > 0; }

  double RateAt(double seconds) const {
    if (!HasBursts())
      return m_settings.calls_per_second;
    const double every =
        std::chrono::duration<double>(m_settings.burst_every).count();
    const double burst =
        std::chrono::duration<double>(m_settings.burst).count();
    const bool in_burst = std::fmod(seconds, every) >= every - burst;
    return m_settings.calls_per_second *
           (in_burst ? m_settings.burst_factor : 1);
  }

  CallKind DrawKind() {
    double left = m_uniform(m_random);
    const auto falls_in = [&left](double share) {
      left -= share;
      return left < 0;
    };
    if (falls_in(m_settings.protected_share))
      return CallKind::kProtected;
    if (falls_in(m_settings.upload_share))
      return CallKind::kUpload;
    if (falls_in(m_settings.download_share))
      return CallKind::kDownload;
    if (falls_in(m_settings.direct_share))
      return CallKind::kDirectRead;
    return CallKind::kRead;
  }

  const LoadSettings m_settings;
  std::mt19937_64 m_random;
  std::uniform_real_distribution<double> m_uniform;
  ZipfDistribution m_keys;
  ZipfDistribution m_callers;
  double m_seconds = 0;
  std::uint64_t m_count = 0;
};

CallPlan::CallPlan(const LoadSettings& settings)
    : m_implementation(std::make_unique<Implementation>(settings)) {}

CallPlan::~CallPlan() = default;

std::optional<PlannedCall> CallPlan::Next() {
  return m_implementation->Next();
}

}  // namespace citrongrade
