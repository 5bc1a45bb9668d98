#pragma once

#include <chrono>
#include <compare>
#include <string>

#include "programs/citrongrade-load/attempt_outcome.h"

namespace citrongrade {

// How one attempt ended.
struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kLost;
  // The refusal's error name, or this program's name of what went wrong.
  std::string error;
  // What the refusal asks for.
  std::chrono::milliseconds retry_after{0};

  friend auto operator<=>(const AttemptResult&, const AttemptResult&) = default;
};

}  // namespace citrongrade
