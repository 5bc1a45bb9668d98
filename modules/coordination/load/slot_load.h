#pragma once

#include <compare>
#include <optional>

#include "modules/coordination/load/key_load.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

// Work that one slot causes at its owner, in busy target slots.
struct SlotLoad {
  SlotIndex slot;
  double load = 0;
  // Set when the slot has other keys besides; a slot of one key has none.
  std::optional<KeyLoad> hottest_key;

  friend auto operator<=>(const SlotLoad&, const SlotLoad&) = default;
};

}  // namespace citrongrade
