#pragma once

#include <cstdint>

namespace citrongrade {

// Why a request got no response from a target. In the body of a refusal the
// name is the enumerator without its k, in lower case with hyphens
// ("unknown-service").
enum class RequestErrorCode : std::uint8_t {
  kUnknownService,
  kMissingKey,
  kKeyTooLong,
  kMalformedRequest,
  kHeaderTooLarge,
  kMissingRequestId,
  kBadRequestId,
  kBadDeadline,
  // This node has not yet read the configuration and the slot table completely.
  kNodeNotReady,
  kNodeDraining,
  // The key's slot has no owner, or the owner can't be reached.
  kNoOwner,
  kOwnerUnreachable,
  // The lease expired or the slot moved before the request was passed to the
  // target.
  kLeaseLost,
  // The request ids that a lost owner ran are still being collected.
  kRecovering,
  // The request ids that a lost owner ran can't be recovered. Lasts until the
  // resend horizon has passed.
  kHistoryLost,
  // A request with this id ran, or may have run, before.
  kAlreadyRun,
  // A request with this id is running now.
  kInProgress,
  // The memory for request ids is full.
  kRequestMemoryFull,
  kOverloaded,
  kDeadlinePassed,
  // Earlier attempts of the request crashed targets.
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
