#pragma once

#include <chrono>
#include <compare>

#include "modules/coordination/load/refusal_reason.h"

namespace citrongrade {

// A final answer that the request was not run. `retry_after` already includes
// jitter.
struct Refusal {
  RefusalReason reason = RefusalReason::kOverloaded;
  std::chrono::milliseconds retry_after{0};

  friend auto operator<=>(const Refusal&, const Refusal&) = default;
};

}  // namespace citrongrade
