#pragma once

#include "modules/coordination/clock.h"

namespace citrongrade {

// A clock that moves only when told to, for tests and virtual-time benchmarks.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return m_now; }

  // Negative steps are not allowed: monotonic time never goes back.
  void Advance(Duration step) { m_now += step; }

 private:
  TimePoint m_now = TimePoint(std::chrono::hours(1));
};

}  // namespace citrongrade
