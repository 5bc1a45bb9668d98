#pragma once

#include <compare>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// The owner of a slot and the fencing token of its assignment.
struct SlotOwnership {
  MemberId owner;
  Epoch epoch;

  friend auto operator<=>(const SlotOwnership&, const SlotOwnership&) = default;
};

}  // namespace citrongrade
