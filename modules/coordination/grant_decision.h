#pragma once

#include <chrono>
#include <compare>
#include <optional>

#include "modules/state/identifiers.h"
#include "modules/state/request_error_code.h"

namespace citrongrade {

// Whether this node may give work of a slot to its target at this moment.
struct GrantDecision {
  // Empty: it may. Else kNoOwner, kLeaseLost, kNodeDraining or kNodeNotReady,
  // all of which mean that nothing ran here.
  std::optional<RequestErrorCode> refused;
  Epoch epoch;
  // What remains of the lease, from the moment of the call.
  std::chrono::milliseconds lease_remaining{0};

  bool granted() const { return !refused.has_value(); }

  friend auto operator<=>(const GrantDecision&, const GrantDecision&) = default;
};

}  // namespace citrongrade
