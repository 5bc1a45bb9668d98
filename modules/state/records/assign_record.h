#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "modules/state/service_id.h"
#include "modules/state/owned_slot_range.h"

namespace citrongrade {

// Gives slots that nobody owns to members. Any member may write it.
struct AssignRecord {
  ServiceId service;
  // Slots of the service and the seed of their hash. Both are fixed by the
  // first accepted record; a later record has to repeat them.
  std::uint32_t slot_count = 0;
  std::uint64_t hash_seed = 0;
  std::vector<OwnedSlotRange> runs;

  friend auto operator<=>(const AssignRecord&, const AssignRecord&) = default;
};

}  // namespace citrongrade
