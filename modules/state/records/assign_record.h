#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "modules/state/owned_slot_range.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// Assigns unowned slots to members. Any member may write it.
struct AssignRecord {
  ServiceId service;
  // The service's slot count and the seed of its key hash. The first accepted
  // record fixes both; later records have to repeat them.
  std::uint32_t slot_count = 0;
  std::uint64_t hash_seed = 0;
  std::vector<OwnedSlotRange> runs;

  friend auto operator<=>(const AssignRecord&, const AssignRecord&) = default;
};

}  // namespace citrongrade
