#include "modules/coordination/load/cold_start_ramp.h"

#include <algorithm>

namespace citrongrade {

ColdStartRamp::ColdStartRamp(const Clock& clock, const Parameters& parameters)
    : m_clock(&clock), m_parameters(parameters), m_started(clock.Now()) {}

ColdStartRamp ColdStartRamp::Finished(const Clock& clock) {
  return ColdStartRamp(clock, {1.0, std::chrono::milliseconds(0)});
}

double ColdStartRamp::Share() const {
  const Clock::Duration elapsed = m_clock->Now() - m_started;
  if (elapsed >= m_parameters.duration) {
    return 1;
  }
  const double done = std::chrono::duration<double>(elapsed) /
                      std::chrono::duration<double>(m_parameters.duration);
  return m_parameters.initial_share + (1 - m_parameters.initial_share) * done;
}

}  // namespace citrongrade
