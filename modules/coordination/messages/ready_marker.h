#pragma once

#include <compare>

#include "modules/state/identifiers.h"

namespace citrongrade {

// An owner's word that a witness which stores this marker has every request id
// of the slot that ran before. The epoch tells the owner's grants of one slot
// apart: an owner that lost the slot and got it back is not ready by its
// earlier marker.
struct ReadyMarker {
  SlotIndex slot;
  Epoch epoch;

  friend auto operator<=>(const ReadyMarker&, const ReadyMarker&) = default;
};

}  // namespace citrongrade
