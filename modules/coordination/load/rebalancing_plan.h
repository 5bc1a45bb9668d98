#pragma once

#include <vector>

#include "modules/coordination/load/key_isolation.h"
#include "modules/coordination/load/slot_move.h"

namespace citrongrade {

// Slots and hot keys that one owner should hand to other members now; usually
// empty.
struct RebalancingPlan {
  std::vector<SlotMove> moves;
  std::vector<KeyIsolation> isolations;

  bool empty() const { return moves.empty() && isolations.empty(); }

  friend auto operator<=>(const RebalancingPlan&,
                          const RebalancingPlan&) = default;
};

}  // namespace citrongrade
