#pragma once

#include <compare>
#include <cstddef>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/witness.h"

namespace citrongrade {

// The members of which a majority grants a holder's lease and testifies when
// that lease has expired. The set is empty for a member that may not own slots
// yet, and for the only member of a mesh.
struct WitnessSet {
  WitnessSetVersion version;
  std::vector<Witness> witnesses;

  // Any two majorities share a witness. 0 for an empty set.
  std::size_t MajoritySize() const {
    return witnesses.empty() ? 0 : witnesses.size() / 2 + 1;
  }

  const Witness* Find(const MemberId& member) const {
    for (const Witness& witness : witnesses) {
      if (witness.member == member) {
        return &witness;
      }
    }
    return nullptr;
  }

  friend auto operator<=>(const WitnessSet&, const WitnessSet&) = default;
};

}  // namespace citrongrade
