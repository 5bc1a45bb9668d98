#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "modules/state/member_id.h"

namespace citrongrade {

class MeshState;

// Chooses a member's witnesses: five, three in a mesh of at most five nodes,
// one in a mesh of at most three; spread over availability zones, so that the
// loss of one zone leaves a majority where there are three zones. Keeps the
// witnesses that are still good, since each change costs two records. Pure.
class WitnessSetPlanner {
 public:
  static constexpr std::size_t kFullSize = 5;
  static constexpr std::size_t kSmallMeshSize = 3;
  // More than this of five in one zone would lose the majority with the zone.
  static constexpr std::size_t kMaxPerZone = 2;

  // Whether a member is to be a witness, for example not suspected.
  using Eligibility = std::function<bool(const MemberId&)>;

  static std::size_t SizeFor(std::size_t other_members);

  // The set to have now, in order of member; empty when nobody is eligible.
  static std::vector<MemberId> Plan(const MeshState& state,
                                    const MemberId& holder,
                                    const std::vector<MemberId>& present,
                                    const Eligibility& is_eligible);
};

}  // namespace citrongrade
