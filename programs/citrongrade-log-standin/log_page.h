#pragma once

#include <compare>
#include <string>
#include <vector>

#include "modules/state/identifiers.h"
#include "programs/citrongrade-log-standin/log_bounds.h"

namespace citrongrade {

// Neighbouring records of one stream; the first stands at `from`.
struct LogPage {
  LogBounds bounds;
  LogOffset from;
  std::vector<std::string> records;

  friend auto operator<=>(const LogPage&, const LogPage&) = default;
};

}  // namespace citrongrade
