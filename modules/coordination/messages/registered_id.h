#pragma once

#include <chrono>
#include <compare>

#include "modules/state/identifiers.h"
#include "modules/state/request_id_hash.h"

namespace citrongrade {

// A request id that may have run. Times are durations, since clocks of two
// processes can't be compared; the way it travels makes it younger, so it is
// kept for longer rather than shorter.
struct RegisteredId {
  SlotIndex slot;
  RequestIdHash id;
  std::chrono::milliseconds age{0};
  // How long it has to be remembered, counted from age zero.
  std::chrono::milliseconds resend_horizon{0};

  friend auto operator<=>(const RegisteredId&, const RegisteredId&) = default;
};

}  // namespace citrongrade
