#pragma once

#include <compare>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// A slot that its owner should transfer to another member.
struct SlotMove {
  SlotIndex slot;
  MemberId to;

  friend auto operator<=>(const SlotMove&, const SlotMove&) = default;
};

}  // namespace citrongrade
