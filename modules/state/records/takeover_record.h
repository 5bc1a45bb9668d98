#pragma once

#include <compare>
#include <vector>

#include "modules/state/member_id.h"
#include "modules/state/records/testimony.h"
#include "modules/state/service_id.h"
#include "modules/state/owned_slot_range.h"

namespace citrongrade {

// Takes all slots of a lost member. Valid with testimonies of a majority of its
// witness set (and of the pending set, if there is one), or, with none, when
// all runs go to a later incarnation of the lost node on the same boot and
// peer address.
struct TakeoverRecord {
  MemberId lost;
  ServiceId service;
  std::vector<Testimony> testimonies;
  std::vector<OwnedSlotRange> runs;

  friend auto operator<=>(const TakeoverRecord&,
                          const TakeoverRecord&) = default;
};

}  // namespace citrongrade
