#pragma once

#include <compare>
#include <cstdint>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// `count` neighbouring slots, from `first` on, that go to `owner`.
struct SlotRun {
  SlotIndex first;
  std::uint32_t count = 0;
  MemberId owner;

  friend auto operator<=>(const SlotRun&, const SlotRun&) = default;
};

}  // namespace citrongrade
