#pragma once

#include <cstdint>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"
#include "modules/state/owned_slot_range.h"
#include "modules/state/service_id.h"

namespace citrongrade {

class MeshContext;

// Gives slots to members so that each owns a share in proportion to what its
// target runs at once, least loaded first. Pure but for ReceiversFor().
class SlotSpreader {
 public:
  struct Receiver {
    MemberId member;
    // Requests that its target runs at once.
    std::uint32_t weight = 1;
    std::uint32_t owned_slots = 0;
  };

  // Members that may own slots of the service now: current, with witnesses (or
  // alone), neither suspected nor draining.
  static std::vector<Receiver> ReceiversFor(MeshContext& context,
                                            const ServiceId& service);

  // Neighbouring slots stay together as far as the shares allow, so that
  // records stay short. Empty when there is no receiver.
  static std::vector<OwnedSlotRange> Spread(const std::vector<SlotIndex>& slots,
                                            std::vector<Receiver> receivers);

  // `slots` in ascending order, as runs of one owner.
  static std::vector<OwnedSlotRange> RunsOf(const std::vector<SlotIndex>& slots,
                                            const MemberId& owner);
};

}  // namespace citrongrade
