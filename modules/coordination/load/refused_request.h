#pragma once

#include <compare>

#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/load/refusal.h"

namespace citrongrade {

// A request that was queued and is now refused; it never reached the target.
struct RefusedRequest {
  RequestTicket ticket;
  Refusal refusal;

  friend auto operator<=>(const RefusedRequest&,
                          const RefusedRequest&) = default;
};

}  // namespace citrongrade
