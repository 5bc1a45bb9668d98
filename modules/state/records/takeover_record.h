#pragma once

#include <compare>
#include <vector>

#include "modules/state/member_id.h"
#include "modules/state/owned_slot_range.h"
#include "modules/state/records/testimony.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// Reassigns all slots of a lost member. Valid with testimonies from a majority
// of the member's witness set (and of its pending set, if there is one).
// Without testimonies it is valid if all slots go to a later incarnation of the
// lost node with the same boot id and peer address.
struct TakeoverRecord {
  MemberId lost;
  ServiceId service;
  std::vector<Testimony> testimonies;
  std::vector<OwnedSlotRange> runs;

  friend auto operator<=>(const TakeoverRecord&,
                          const TakeoverRecord&) = default;
};

}  // namespace citrongrade
