#pragma once

#include <time.h>

#include "modules/coordination/clock.h"

namespace citrongrade {

// The machine's monotonic clock, time asleep included: a lease must not last
// longer because its holder's host was suspended. Kin: ManualClock, for tests.
class SteadyClock final : public Clock {
 public:
  TimePoint Now() const override {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) +
                     std::chrono::nanoseconds(time.tv_nsec));
  }
};

}  // namespace citrongrade
