#pragma once

#include <chrono>
#include <compare>

#include "modules/coordination/load/refusal_reason.h"

namespace citrongrade {

// A final "not run" answer. `retry_after` already has its jitter.
struct Refusal {
  RefusalReason reason = RefusalReason::kOverloaded;
  std::chrono::milliseconds retry_after{0};

  friend auto operator<=>(const Refusal&, const Refusal&) = default;
};

}  // namespace citrongrade
