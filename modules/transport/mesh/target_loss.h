#pragma once

#include <cstdint>
#include <string>

#include "modules/coordination/clock.h"

namespace citrongrade {

// The loss of one process of the target beside this node.
struct TargetLoss {
  std::string target_id;
  // TargetController::incarnation_number() while that process was there.
  std::uint64_t incarnation_number = 0;
  // Earliest time at which the process may have ended, as far as this node
  // knows; a connection may have broken a moment before.
  Clock::TimePoint first_sign;
  // The process ended without having said that it leaves. False for a target
  // that is merely silent, too.
  bool is_unexpected_end = false;
  const char* reason = "";
};

}  // namespace citrongrade
