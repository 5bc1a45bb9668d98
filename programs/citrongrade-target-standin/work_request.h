#pragma once

#include <chrono>
#include <compare>
#include <optional>
#include <string>

#include "modules/coordination/clock.h"
#include "programs/citrongrade-target-standin/grant.h"

namespace citrongrade {

// What the headers and the target of a request say, as far as a run needs it.
struct WorkRequest {
  std::string request_id;
  std::string idempotency_key;
  // The load program's id of the call, the same on a resend.
  std::string call_id;
  std::string key;
  std::string method;
  std::optional<Grant> grant;
  Clock::TimePoint deadline;
  bool is_poison = false;
  // A direct call for comparison, past the system: carries no grant.
  bool is_direct = false;

  friend auto operator<=>(const WorkRequest&, const WorkRequest&) = default;
};

}  // namespace citrongrade
