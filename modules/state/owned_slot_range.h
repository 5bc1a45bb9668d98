#pragma once

#include <compare>
#include <cstdint>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// `count` neighbouring slots, starting at `first`, and the member that they are
// assigned to.
struct OwnedSlotRange {
  SlotIndex first;
  std::uint32_t count = 0;
  MemberId owner;

  friend auto operator<=>(const OwnedSlotRange&,
                          const OwnedSlotRange&) = default;
};

}  // namespace citrongrade
