#pragma once

#include <compare>

#include "modules/coordination/load/load_identifiers.h"
#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// A hot key that should move from its slot to a slot of its own at the member
// `to`.
struct KeyIsolation {
  KeyHash key;
  SlotIndex from;
  MemberId to;

  friend auto operator<=>(const KeyIsolation&, const KeyIsolation&) = default;
};

}  // namespace citrongrade
