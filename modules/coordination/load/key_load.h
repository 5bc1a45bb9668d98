#pragma once

#include <compare>

#include "modules/coordination/load/load_identifiers.h"

namespace citrongrade {

// Work that one key causes, in busy target slots (seconds of work per second).
struct KeyLoad {
  KeyHash key;
  double load = 0;

  friend auto operator<=>(const KeyLoad&, const KeyLoad&) = default;
};

}  // namespace citrongrade
