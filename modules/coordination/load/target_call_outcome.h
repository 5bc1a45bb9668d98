#pragma once

namespace citrongrade {

// Outcome of one attempt at a target, as seen by the node that sent it.
enum class TargetCallOutcome {
  kDone,
  // The target refused the attempt without running it, because it was
  // overloaded, draining or starting.
  kNotRun,
  // The attempt timed out or its connection was lost; it may have run.
  kUnknown,
};

}  // namespace citrongrade
