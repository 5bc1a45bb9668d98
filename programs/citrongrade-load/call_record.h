#pragma once

#include <chrono>
#include <compare>
#include <string>

#include "programs/citrongrade-load/attempt_outcome.h"
#include "programs/citrongrade-load/planned_call.h"

namespace citrongrade {

// A call and what became of it after all its attempts.
struct CallRecord {
  PlannedCall call;
  unsigned attempts = 0;
  AttemptOutcome last_outcome = AttemptOutcome::kLost;
  // Each attempt was refused as not run.
  bool every_attempt_not_run = true;
  bool any_wrong_answer = false;
  // Outcome and error of each attempt, for whoever has to explain it.
  std::string history;
  // From when the call was due to its last answer.
  std::chrono::microseconds latency{0};

  friend auto operator<=>(const CallRecord&, const CallRecord&) = default;
};

}  // namespace citrongrade
