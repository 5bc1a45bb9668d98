#pragma once

#include <compare>

#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/load/refusal.h"

namespace citrongrade {

// A request that waited and is now given up; it never reached the target.
struct RefusedRequest {
  RequestTicket ticket;
  Refusal refusal;

  friend auto operator<=>(const RefusedRequest&,
                          const RefusedRequest&) = default;
};

}  // namespace citrongrade
