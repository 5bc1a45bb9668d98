#pragma once

#include <algorithm>
#include <chrono>

#include "modules/coordination/clock.h"

namespace citrongrade {

// How much slower work is after a start: by `factor` at first, falling in a
// straight line to 1 at the end of `period`.
class ColdStart {
 public:
  ColdStart(Clock::TimePoint warm_up_begin,
            std::chrono::milliseconds period,
            double factor)
      : m_begin(warm_up_begin), m_period(period), m_factor(factor) {}

  double FactorAt(Clock::TimePoint now) const {
    if (m_period.count() == 0)
      return 1;
    const double passed = std::chrono::duration<double>(now - m_begin) /
                          std::chrono::duration<double>(m_period);
    return 1 + (m_factor - 1) * (1 - std::clamp(passed, 0.0, 1.0));
  }

 private:
  Clock::TimePoint m_begin;
  std::chrono::milliseconds m_period;
  double m_factor;
};

}  // namespace citrongrade
