#pragma once

#include <cstdint>

namespace citrongrade {

// Why a coordinator's membership has ended. It serves nothing any more; its
// process makes a new coordinator, which joins anew, or exits.
enum class MembershipLoss : std::uint8_t {
  // A later incarnation of the same node joined.
  kSuperseded,
  // The other members took over its slots, or an operator declared it gone.
  kTakenOver,
  // It drained and left, as it was asked to.
  kLeft,
};

}  // namespace citrongrade
