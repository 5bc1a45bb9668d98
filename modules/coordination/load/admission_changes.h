#pragma once

#include <vector>

#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/load/refused_request.h"

namespace citrongrade {

// What AdmissionController::Poll() decided since the call before it.
struct AdmissionChanges {
  // Waited, and go to the target now.
  std::vector<RequestTicket> admitted;
  // Waited, and are given up: answer their callers now.
  std::vector<RefusedRequest> refused;
  // Run, and their deadline has passed: cancel them at the target. They keep
  // their place until OnFinished(), since the target may go on with them.
  std::vector<RequestTicket> overdue;

  friend auto operator<=>(const AdmissionChanges&,
                          const AdmissionChanges&) = default;
};

}  // namespace citrongrade
