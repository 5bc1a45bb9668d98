#pragma once

#include <compare>
#include <cstdint>

#include "modules/state/member_id.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// A successor asks a witness for the request ids of a lost owner, one chunk at
// a time. The witness gives those of all the owner's slots.
struct CollectIdsRequest {
  // Repeated in the reply.
  std::uint64_t collection = 0;
  MemberId lost;
  ServiceId service;
  std::uint32_t chunk_index = 0;

  friend auto operator<=>(const CollectIdsRequest&,
                          const CollectIdsRequest&) = default;
};

}  // namespace citrongrade
