#pragma once

#include <compare>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// A member proposes the set of witnesses that is to grant its lease. Valid only
// against the set it names; pending until a WitnessSetConfirmedRecord, and a
// takeover meanwhile needs a majority of the old set and of the new one.
struct WitnessSetRecord {
  MemberId member;
  // The pending set if there is one, else the confirmed one: of several
  // proposals whose outcome the member does not know, one alone is accepted.
  WitnessSetVersion based_on;
  std::vector<MemberId> witnesses;

  friend auto operator<=>(const WitnessSetRecord&,
                          const WitnessSetRecord&) = default;
};

}  // namespace citrongrade
