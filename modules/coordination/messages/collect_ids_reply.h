#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "modules/coordination/messages/ready_marker.h"
#include "modules/coordination/messages/registered_id.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// One chunk of what a witness remembers of a lost owner.
struct CollectIdsReply {
  std::uint64_t collection = 0;
  MemberId lost;
  std::uint32_t chunk_index = 0;
  bool is_last = false;
  std::vector<RegisteredId> ids;
  std::vector<ReadyMarker> markers;

  friend auto operator<=>(const CollectIdsReply&,
                          const CollectIdsReply&) = default;
};

}  // namespace citrongrade
