#pragma once

#include <compare>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// Confirms a member's pending witness set: the member holds its lease from a
// majority of the pending set, has sent that set its request ids, and no longer
// relies on the old set.
struct WitnessSetConfirmedRecord {
  MemberId member;
  // Version of the pending set, which is the offset of its WitnessSetRecord.
  WitnessSetVersion confirmed;

  friend auto operator<=>(const WitnessSetConfirmedRecord&,
                          const WitnessSetConfirmedRecord&) = default;
};

}  // namespace citrongrade
