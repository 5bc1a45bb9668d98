#pragma once

#include <compare>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"
#include "modules/state/service_id.h"
#include "modules/state/witness_set.h"

namespace citrongrade {

// Where the successors of a lost member find the request ids that it ran: with
// a majority of each witness set that counted when it was lost.
struct TakeoverHistory {
  Epoch epoch;
  MemberId lost;
  ServiceId service;
  // The confirmed set and, if there was one, the pending set.
  std::vector<WitnessSet> witness_sets;

  friend auto operator<=>(const TakeoverHistory&,
                          const TakeoverHistory&) = default;
};

}  // namespace citrongrade
