#pragma once

#include "modules/coordination/clock.h"

namespace citrongrade {

// The machine's monotonic clock. Kin: ManualClock, for tests.
class SteadyClock final : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
};

}  // namespace citrongrade
