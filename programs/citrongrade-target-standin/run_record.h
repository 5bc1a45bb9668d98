#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

// One run of a request, from its first effect on.
struct RunRecord {
  // Counts the runs of this process.
  std::uint64_t number = 0;
  std::string request_id;
  std::string idempotency_key;
  std::string call_id;
  std::string key;
  Epoch epoch;
  Clock::TimePoint start;
  std::optional<Clock::TimePoint> end;
  bool completed = false;

  friend auto operator<=>(const RunRecord&, const RunRecord&) = default;
};

}  // namespace citrongrade
