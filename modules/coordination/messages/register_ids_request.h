#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "modules/coordination/messages/ready_marker.h"
#include "modules/coordination/messages/registered_id.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// An owner (the message's sender) gives a witness request ids before they run.
// One request is on its way to a witness at a time, so a marker never arrives
// before the ids that it speaks for.
struct RegisterIdsRequest {
  std::uint64_t sequence = 0;
  ServiceId service;
  std::vector<RegisteredId> ids;
  std::vector<ReadyMarker> markers;

  friend auto operator<=>(const RegisterIdsRequest&,
                          const RegisterIdsRequest&) = default;
};

}  // namespace citrongrade
