#pragma once

#include <cstdint>

namespace citrongrade {

// Why a request got no answer of a target. The name in a refusal's body is the
// enumerator without its k, in lower case with hyphens ("unknown-service").
enum class RequestErrorCode : std::uint8_t {
  kUnknownService,
  kMissingKey,
  kKeyTooLong,
  kMalformedRequest,
  kHeaderTooLarge,
  kMissingRequestId,
  kBadRequestId,
  kBadDeadline,
  // This node has not read the configuration and the table to their end.
  kNodeNotReady,
  kNodeDraining,
  // Nobody owns the key's slot, or its owner can't be reached.
  kNoOwner,
  kOwnerUnreachable,
  // The lease lapsed or the slot moved before the work was given to the target.
  kLeaseLost,
  // The request ids that a lost owner ran are not yet collected.
  kRecovering,
  // The request ids that a lost owner ran are gone until the horizon has
  // passed.
  kHistoryLost,
  // The id ran, or may have run, before.
  kAlreadyRun,
  // The id is running now.
  kInProgress,
  // The memory of request ids is full.
  kRequestMemoryFull,
  kOverloaded,
  kDeadlinePassed,
  // Its runs crashed targets.
  kQuarantined,
  kTargetRefused,
  kTargetUnavailable,
  kTargetFailed,
  kTargetTimeout,
  kTruncatedAnswer,
  kCancelled,
  kRetryBudgetSpent,
};

}  // namespace citrongrade
