#pragma once

#include <compare>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// A member holds its lease from a majority of its pending witness set, has
// handed that set its request ids, and counts on the old set no more.
struct WitnessSetConfirmedRecord {
  MemberId member;
  // Version (offset of the WitnessSetRecord) of the pending set.
  WitnessSetVersion confirmed;

  friend auto operator<=>(const WitnessSetConfirmedRecord&,
                          const WitnessSetConfirmedRecord&) = default;
};

}  // namespace citrongrade
