#pragma once

#include <vector>

#include "modules/coordination/load/key_isolation.h"
#include "modules/coordination/load/slot_move.h"

namespace citrongrade {

// What one owner should give away now; empty nearly always.
struct RebalancingPlan {
  std::vector<SlotMove> moves;
  std::vector<KeyIsolation> isolations;

  bool empty() const { return moves.empty() && isolations.empty(); }

  friend auto operator<=>(const RebalancingPlan&,
                          const RebalancingPlan&) = default;
};

}  // namespace citrongrade
