#pragma once

#include <compare>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"
#include "modules/state/owned_slot_range.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// Moves slots from a live owner to members that have already received the
// owner's recent request ids. Written by the owner only.
struct TransferRecord {
  MemberId from;
  ServiceId service;
  // The writer had applied all records before this offset. If a slot was
  // assigned to it again later, the slot has a later epoch and this record is
  // stale. Without this check a delayed append could take a slot from an owner
  // that is serving it.
  LogOffset as_of;
  std::vector<OwnedSlotRange> runs;

  friend auto operator<=>(const TransferRecord&,
                          const TransferRecord&) = default;
};

}  // namespace citrongrade
