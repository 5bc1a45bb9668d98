#pragma once

#include <compare>
#include <memory>
#include <optional>

#include "modules/coordination/stored_answer.h"
#include "modules/state/request_error_code.h"

namespace citrongrade {

// Whether a protected request may run, after its id is safe with a majority of
// the owner's witnesses.
struct Registration {
  // Empty: it may run, once. kAlreadyRun, kInProgress and kHistoryLost: the
  // outcome of the id is unknown, unless `answer` holds it. kRecovering,
  // kRequestMemoryFull, kLeaseLost, kNoOwner: not run.
  std::optional<RequestErrorCode> refused;
  // With kAlreadyRun, if it is still kept: what the first run answered.
  std::shared_ptr<const StoredAnswer> answer;

  bool may_run() const { return !refused.has_value(); }
};

}  // namespace citrongrade
