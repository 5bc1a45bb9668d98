#pragma once

#include <compare>
#include <optional>

#include "modules/coordination/load/refusal.h"

namespace citrongrade {

// The answer to AdmissionController::Offer().
struct AdmissionDecision {
  enum class Verdict {
    // Give it to the target now, and report its end by OnFinished().
    kAdmitted,
    // A later Poll() names it, as admitted or as refused.
    kQueued,
    // Final: answer the caller now.
    kRefused,
  };

  Verdict verdict = Verdict::kAdmitted;
  // Set for kRefused only.
  std::optional<Refusal> refusal;

  friend auto operator<=>(const AdmissionDecision&,
                          const AdmissionDecision&) = default;
};

}  // namespace citrongrade
