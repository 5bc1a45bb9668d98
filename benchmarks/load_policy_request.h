#pragma once

#include <cstddef>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/request_metadata.h"
#include "modules/coordination/load/retry_allowance.h"

namespace citrongrade {

// One try of one caller, with what only the simulation knows of it.
struct LoadPolicyRequest {
  RequestMetadata facts;
  // How long a healthy target needs for it.
  Clock::Duration work{0};
  Clock::TimePoint sent;
  std::size_t stream = 0;
  // Node that the caller's connection leads to.
  std::size_t entry = 0;
  unsigned resends = 0;
  RetryAllowance allowance;
};

}  // namespace citrongrade
