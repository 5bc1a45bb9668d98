#include "programs/citrongrade-load/percentiles.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <vector>

namespace citrongrade {

namespace {

using Values = std::vector<std::chrono::microseconds>;

// Nearest rank: the smallest value that `share` of all values don't exceed.
std::chrono::microseconds AtRank(const Values& sorted, double share) {
  const double rank = std::ceil(share * static_cast<double>(sorted.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

}  // namespace

Percentiles Percentiles::Of(Values values) {
  if (values.empty())
    return {};
  std::sort(values.begin(), values.end());
  return {.count = values.size(),
          .p50 = AtRank(values, 0.5),
          .p90 = AtRank(values, 0.9),
          .p99 = AtRank(values, 0.99),
          .p999 = AtRank(values, 0.999),
          .max = values.back()};
}

}  // namespace citrongrade
