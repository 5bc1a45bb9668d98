#pragma once

#include <compare>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"
#include "modules/state/service_id.h"
#include "modules/state/witness_set.h"

namespace citrongrade {

// The witness sets from which the new owners of a lost member's slots collect
// the request ids that it ran: a majority of each set that was valid when the
// member was lost.
struct TakeoverHistory {
  Epoch epoch;
  MemberId lost;
  ServiceId service;
  // The confirmed set and the pending set, if there was one.
  std::vector<WitnessSet> witness_sets;

  friend auto operator<=>(const TakeoverHistory&,
                          const TakeoverHistory&) = default;
};

}  // namespace citrongrade
