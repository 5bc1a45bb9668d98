#pragma once

namespace citrongrade {

// How an attempt that was given to a target ended, as its caller saw it.
enum class TargetCallOutcome {
  kDone,
  // The target refused it without running it: shedding, draining, starting.
  kNotRun,
  // No answer in time, or the connection was lost: it may have run.
  kUnknown,
};

}  // namespace citrongrade
