#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <vector>

namespace citrongrade {

// Exact percentiles of a run's durations. All values are kept and sorted:
// bounds of benchmarks rest on these figures, and an estimate of the tail
// moves.
struct Percentiles {
  std::size_t count = 0;
  std::chrono::microseconds p50{0};
  std::chrono::microseconds p90{0};
  std::chrono::microseconds p99{0};
  std::chrono::microseconds p999{0};
  std::chrono::microseconds max{0};

  static Percentiles Of(std::vector<std::chrono::microseconds> values);

  friend auto operator<=>(const Percentiles&, const Percentiles&) = default;
};

}  // namespace citrongrade
