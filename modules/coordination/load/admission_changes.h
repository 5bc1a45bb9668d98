#pragma once

#include <vector>

#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/load/refused_request.h"

namespace citrongrade {

// The outcome of AdmissionController::Poll() since the previous call.
struct AdmissionChanges {
  // Queued requests to send to the target now.
  std::vector<RequestTicket> admitted;
  // Queued requests that are refused; answer their callers now.
  std::vector<RefusedRequest> refused;
  // Running requests whose deadline has passed; cancel them at the target. Each
  // counts against the limit until OnFinished(), because the target may
  // continue to run it.
  std::vector<RequestTicket> overdue;

  friend auto operator<=>(const AdmissionChanges&,
                          const AdmissionChanges&) = default;
};

}  // namespace citrongrade
