#pragma once

#include <compare>
#include <optional>

#include "modules/coordination/load/key_load.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

// Load that one slot causes at its owner: the average number of its requests in
// service (seconds of service time per second).
struct SlotLoad {
  SlotIndex slot;
  double load = 0;
  // The key with the highest load. Only set if the slot has other keys as well.
  std::optional<KeyLoad> hottest_key;

  friend auto operator<=>(const SlotLoad&, const SlotLoad&) = default;
};

}  // namespace citrongrade
