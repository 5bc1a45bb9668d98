#pragma once

#include "modules/coordination/load/refusal.h"
#include "modules/coordination/load/request_metadata.h"
#include "modules/coordination/protected_request.h"
#include "modules/protocol/answer_head.h"
#include "modules/protocol/forwarded_request.h"
#include "modules/transport/local_run.h"

// How coordination sees a forwarded request, and how callers see its word. For
// TargetDispatcher only.
namespace citrongrade {

RequestMetadata FactsOf(const LocalRun& run);

// Only for a request with a protected id.
ProtectedRequest ProtectedPartOf(const ForwardedRequest& request);

AnswerHead RefusalOf(const Refusal& refusal);

// A registration refused with this code proves that the id did not run.
bool IsProvedNotRun(RequestErrorCode refused);

}  // namespace citrongrade
