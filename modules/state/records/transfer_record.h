#pragma once

#include <compare>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"
#include "modules/state/service_id.h"
#include "modules/state/owned_slot_range.h"

namespace citrongrade {

// A live owner gives slots of its own to others, which have already taken over
// its window of request ids. Written by the owner alone.
struct TransferRecord {
  MemberId from;
  ServiceId service;
  // The writer had applied all records before this one. A slot that came back
  // to it since has a later epoch, and the record is stale: else an append that
  // lands late would take a slot from an owner that serves it.
  LogOffset as_of;
  std::vector<OwnedSlotRange> runs;

  friend auto operator<=>(const TransferRecord&,
                          const TransferRecord&) = default;
};

}  // namespace citrongrade
