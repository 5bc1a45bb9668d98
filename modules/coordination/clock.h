#pragma once

#include <chrono>

namespace citrongrade {

// The time, as all decisions see it. Passed in, so that tests set it.
class Clock {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  virtual ~Clock() = default;

  // Monotonic time of this process. Never compared across processes.
  virtual TimePoint Now() const = 0;
};

}  // namespace citrongrade
