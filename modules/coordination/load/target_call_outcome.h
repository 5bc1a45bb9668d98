#pragma once

namespace citrongrade {

// Outcome of one attempt at a target, as seen by the node that sent it.
enum class TargetCallOutcome {
  kDone,
  // The target refused the attempt without running it, because it was
  // overloaded, draining or starting.
  kNotRun,
  // The target's node refused the attempt, as the target takes only so many
  // requests a second. It says nothing of the target's health.
  kPaced,
  // The attempt timed out or its connection was lost; it may have run.
  kUnknown,
};

}  // namespace citrongrade
