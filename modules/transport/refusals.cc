#include "modules/transport/refusals.h"

#include <utility>

namespace citrongrade {

namespace {

AnswerHead Refuse(RequestOutcome outcome,
                  RequestErrorCode error,
                  std::string message,
                  std::chrono::milliseconds retry_after) {
  AnswerHead head;
  head.outcome = outcome;
  head.error = error;
  head.message = std::move(message);
  head.retry_after = retry_after;
  return head;
}

}  // namespace

AnswerHead RefuseNotRun(RequestErrorCode error,
                        std::string message,
                        std::chrono::milliseconds retry_after) {
  return Refuse(RequestOutcome::kNotRun, error, std::move(message),
                retry_after);
}

AnswerHead RefuseUnknown(RequestErrorCode error,
                         std::string message,
                         std::chrono::milliseconds retry_after) {
  return Refuse(RequestOutcome::kUnknown, error, std::move(message),
                retry_after);
}

std::string_view ToString(RequestErrorCode error) {
  switch (error) {
    case RequestErrorCode::kUnknownService:
      return "unknown-service";
    case RequestErrorCode::kMissingKey:
      return "missing-key";
    case RequestErrorCode::kKeyTooLong:
      return "key-too-long";
    case RequestErrorCode::kMalformedRequest:
      return "malformed-request";
    case RequestErrorCode::kHeaderTooLarge:
      return "header-too-large";
    case RequestErrorCode::kMissingRequestId:
      return "missing-request-id";
    case RequestErrorCode::kBadRequestId:
      return "bad-request-id";
    case RequestErrorCode::kBadDeadline:
      return "bad-deadline";
    case RequestErrorCode::kNodeNotReady:
      return "node-not-ready";
    case RequestErrorCode::kNodeDraining:
      return "node-draining";
    case RequestErrorCode::kNoOwner:
      return "no-owner";
    case RequestErrorCode::kOwnerUnreachable:
      return "owner-unreachable";
    case RequestErrorCode::kLeaseLost:
      return "lease-lost";
    case RequestErrorCode::kRecovering:
      return "recovering";
    case RequestErrorCode::kHistoryLost:
      return "history-lost";
    case RequestErrorCode::kAlreadyRun:
      return "already-run";
    case RequestErrorCode::kInProgress:
      return "in-progress";
    case RequestErrorCode::kRequestMemoryFull:
      return "request-memory-full";
    case RequestErrorCode::kOverloaded:
      return "overloaded";
    case RequestErrorCode::kDeadlinePassed:
      return "deadline-passed";
    case RequestErrorCode::kQuarantined:
      return "quarantined";
    case RequestErrorCode::kTargetRefused:
      return "target-refused";
    case RequestErrorCode::kTargetUnavailable:
      return "target-unavailable";
    case RequestErrorCode::kTargetFailed:
      return "target-failed";
    case RequestErrorCode::kTargetTimeout:
      return "target-timeout";
    case RequestErrorCode::kTruncatedAnswer:
      return "truncated-answer";
    case RequestErrorCode::kCancelled:
      return "cancelled";
    case RequestErrorCode::kRetryBudgetSpent:
      return "retry-budget-spent";
  }
  return "unnamed";
}

std::string_view ToString(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kDone:
      return "done";
    case RequestOutcome::kNotRun:
      return "not-run";
    case RequestOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

bool MayPass(RequestErrorCode error) {
  switch (error) {
    case RequestErrorCode::kUnknownService:
    case RequestErrorCode::kMissingKey:
    case RequestErrorCode::kKeyTooLong:
    case RequestErrorCode::kMalformedRequest:
    case RequestErrorCode::kHeaderTooLarge:
    case RequestErrorCode::kMissingRequestId:
    case RequestErrorCode::kBadRequestId:
    case RequestErrorCode::kBadDeadline:
    case RequestErrorCode::kAlreadyRun:
      return false;
    default:
      return true;
  }
}

int StatusOf(RequestErrorCode error) {
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  constexpr int kConflict = 409;
  constexpr int kHeadersTooLarge = 431;
  constexpr int kUnprocessable = 422;
  constexpr int kBadGateway = 502;
  constexpr int kUnavailable = 503;
  constexpr int kGatewayTimeout = 504;
  switch (error) {
    case RequestErrorCode::kMissingKey:
    case RequestErrorCode::kKeyTooLong:
    case RequestErrorCode::kMalformedRequest:
    case RequestErrorCode::kMissingRequestId:
    case RequestErrorCode::kBadRequestId:
    case RequestErrorCode::kBadDeadline:
      return kBadRequest;
    case RequestErrorCode::kUnknownService:
      return kNotFound;
    case RequestErrorCode::kAlreadyRun:
    case RequestErrorCode::kInProgress:
    case RequestErrorCode::kHistoryLost:
      return kConflict;
    case RequestErrorCode::kQuarantined:
      return kUnprocessable;
    case RequestErrorCode::kHeaderTooLarge:
      return kHeadersTooLarge;
    case RequestErrorCode::kTargetFailed:
    case RequestErrorCode::kTruncatedAnswer:
      return kBadGateway;
    case RequestErrorCode::kTargetTimeout:
    case RequestErrorCode::kDeadlinePassed:
      return kGatewayTimeout;
    case RequestErrorCode::kNodeNotReady:
    case RequestErrorCode::kNodeDraining:
    case RequestErrorCode::kNoOwner:
    case RequestErrorCode::kOwnerUnreachable:
    case RequestErrorCode::kLeaseLost:
    case RequestErrorCode::kRecovering:
    case RequestErrorCode::kRequestMemoryFull:
    case RequestErrorCode::kOverloaded:
    case RequestErrorCode::kTargetRefused:
    case RequestErrorCode::kTargetUnavailable:
    case RequestErrorCode::kCancelled:
    case RequestErrorCode::kRetryBudgetSpent:
      return kUnavailable;
  }
  return kUnavailable;
}

}  // namespace citrongrade
