#pragma once

#include <compare>

#include "modules/coordination/load/load_identifiers.h"

namespace citrongrade {

// Work that one key causes, as the mean number of its requests that run at once
// (seconds of work per second).
struct KeyLoad {
  KeyHash key;
  double load = 0;

  friend auto operator<=>(const KeyLoad&, const KeyLoad&) = default;
};

}  // namespace citrongrade
