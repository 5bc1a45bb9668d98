#include "modules/transport/local_run_facts.h"

#include <functional>
#include <string>

#include "modules/transport/refusals.h"
#include "modules/transport/request_transfer.h"

namespace citrongrade {

RequestMetadata FactsOf(const LocalRun& run) {
  const ForwardedRequest& request = run.transfer->request();
  RequestMetadata facts;
  facts.ticket = run.ticket;
  facts.caller = CallerHash(request.caller_hash);
  facts.key = KeyHash(std::hash<std::string>()(
      request.key.empty() ? request.target : request.key));
  facts.work_class = request.work_class();
  facts.bytes = RequestTransfer::kInlineBytes;
  if (request.body_length && *request.body_length < facts.bytes)
    facts.bytes = *request.body_length;
  facts.deadline = run.transfer->deadline();
  return facts;
}

AnswerHead RefusalOf(const Refusal& refusal) {
  const bool too_late = refusal.reason == RefusalReason::kDeadlineTooClose;
  return RefuseNotRun(too_late ? RequestErrorCode::kDeadlinePassed
                               : RequestErrorCode::kOverloaded,
                      std::string(ToString(refusal.reason)),
                      refusal.retry_after);
}

bool IsProvedNotRun(RequestErrorCode refused) {
  return refused != RequestErrorCode::kAlreadyRun &&
         refused != RequestErrorCode::kInProgress &&
         refused != RequestErrorCode::kHistoryLost;
}

ProtectedRequest ProtectedPartOf(const ForwardedRequest& request) {
  ProtectedRequest part;
  part.service = request.service;
  part.slot = request.slot.value_or(SlotIndex());
  part.id = *request.protected_id;
  part.is_first_attempt = request.is_first_attempt;
  part.resend_horizon = request.resend_horizon;
  return part;
}

}  // namespace citrongrade
