#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <string>

#include "programs/citrongrade-load/call_kind.h"

namespace citrongrade {

// One call that a caller makes, whatever becomes of it; resends included.
struct PlannedCall {
  // Since the run's begin.
  std::chrono::microseconds due{0};
  CallKind kind = CallKind::kRead;
  // Unique in all runs; also the Idempotency-Key.
  std::string id;
  std::string key;
  std::size_t caller = 0;

  friend auto operator<=>(const PlannedCall&, const PlannedCall&) = default;
};

}  // namespace citrongrade
