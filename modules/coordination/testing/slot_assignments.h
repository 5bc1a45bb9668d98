#pragma once

#include <cstdint>

#include "modules/state/mesh/key_table.h"

namespace citrongrade {

// A run that the view gives to this node's target, for tests of what it holds.
inline SlotAssignment MakeOwnedAssignment(std::uint32_t first,
                                          std::uint32_t last,
                                          std::uint64_t fence) {
  SlotAssignment run;
  run.range = {first, last};
  run.owner = "self";
  run.fence = fence;
  run.handover = "from-before";
  return run;
}

// The same run while its owner is to give it back.
inline SlotAssignment MakeMovingAssignment(std::uint32_t first,
                                           std::uint32_t last,
                                           std::uint64_t fence) {
  SlotAssignment run = MakeOwnedAssignment(first, last, fence);
  run.next = {"other", {"t-other", 0}, fence + 1};
  return run;
}

}  // namespace citrongrade
