#pragma once

#include <compare>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// A member proposes the witnesses that are to grant its lease. Valid only if
// `based_on` is the latest set. The new set is pending until a
// WitnessSetConfirmedRecord; until then a takeover needs a majority of both the
// old and the new set.
struct WitnessSetRecord {
  MemberId member;
  // Version of the pending set if there is one, else of the confirmed set. If a
  // member repeats a proposal because it doesn't know the outcome, only one of
  // them is accepted.
  WitnessSetVersion based_on;
  std::vector<MemberId> witnesses;

  friend auto operator<=>(const WitnessSetRecord&,
                          const WitnessSetRecord&) = default;
};

}  // namespace citrongrade
