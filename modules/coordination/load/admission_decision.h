#pragma once

#include <compare>
#include <optional>

#include "modules/coordination/load/refusal.h"

namespace citrongrade {

// Result of AdmissionController::Offer().
struct AdmissionDecision {
  enum class Verdict {
    // Send the request to the target now, and report its end by OnFinished().
    kAdmitted,
    // A later Poll() reports the request as admitted or refused.
    kQueued,
    // Final; answer the caller now.
    kRefused,
  };

  Verdict verdict = Verdict::kAdmitted;
  // Set only for kRefused.
  std::optional<Refusal> refusal;

  friend auto operator<=>(const AdmissionDecision&,
                          const AdmissionDecision&) = default;
};

}  // namespace citrongrade
