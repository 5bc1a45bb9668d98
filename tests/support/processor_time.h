#pragma once

#include <chrono>
#include <ctime>

namespace citrongrade {

// What this thread has used of its processor.
inline std::chrono::microseconds ProcessorTime() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

template <typename Step>
std::chrono::microseconds CostOf(Step step) {
  const std::chrono::microseconds began = ProcessorTime();
  step();
  return ProcessorTime() - began;
}

}  // namespace citrongrade
