#pragma once

#include <compare>

namespace citrongrade {

// What GET /v1/load reports.
struct LoadFigures {
  unsigned running = 0;
  unsigned queued = 0;

  friend auto operator<=>(const LoadFigures&, const LoadFigures&) = default;
};

}  // namespace citrongrade
