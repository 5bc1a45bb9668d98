#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "modules/protocol/answer_head.h"
#include "modules/state/request_error_code.h"
#include "modules/state/request_outcome.h"

namespace citrongrade {

// The system's own answers to requests. RefuseNotRun only where it is proved
// that nothing ran and nothing will.
AnswerHead RefuseNotRun(RequestErrorCode error,
                        std::string message,
                        std::chrono::milliseconds retry_after = {});
AnswerHead RefuseUnknown(RequestErrorCode error,
                         std::string message,
                         std::chrono::milliseconds retry_after = {});

// As in a refusal's body: "unknown-service".
std::string_view ToString(RequestErrorCode error);
// As in the Citrongrade-Outcome header: "not-run".
std::string_view ToString(RequestOutcome outcome);

// A resend may do better later, without any change of the request.
bool MayPass(RequestErrorCode error);

// The HTTP status that goes with a refusal.
int StatusOf(RequestErrorCode error);

}  // namespace citrongrade
