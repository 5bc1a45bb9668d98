#pragma once

#include <memory>
#include <optional>

#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/protected_request.h"

namespace citrongrade {

class RequestTransfer;

// A request on its way through its owner's node. For TargetDispatcher only.
struct LocalRun {
  RequestTicket ticket;
  std::shared_ptr<RequestTransfer> transfer;
  // Set once its id is registered; ends with Finish or Withdraw.
  std::optional<ProtectedRequest> registered;
};

}  // namespace citrongrade
