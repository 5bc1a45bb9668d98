#pragma once

#include <compare>

#include "modules/coordination/load/load_identifiers.h"
#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// A hot key that should leave its slot for a slot of its own at `to`.
struct KeyIsolation {
  KeyHash key;
  SlotIndex from;
  MemberId to;

  friend auto operator<=>(const KeyIsolation&, const KeyIsolation&) = default;
};

}  // namespace citrongrade
