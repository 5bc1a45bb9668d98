#pragma once

#include <compare>

#include "modules/coordination/clock.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

// What a node shows with a request: the key's slot, the epoch of its grant, and
// until when the grant is good, by this process's clock.
struct Grant {
  SlotIndex slot;
  Epoch epoch;
  Clock::TimePoint valid_until;

  friend auto operator<=>(const Grant&, const Grant&) = default;
};

}  // namespace citrongrade
