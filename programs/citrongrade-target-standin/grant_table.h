#pragma once

#include <mutex>
#include <optional>
#include <unordered_map>

#include "modules/coordination/clock.h"
#include "programs/citrongrade-target-standin/grant.h"
#include "programs/citrongrade-target-standin/grant_verdict.h"

namespace citrongrade {

// The highest epoch seen for each slot. An owner that was paused and still
// believes in its lease carries an older epoch than its successor, or a lease
// that is over here; either is refused. Thread-safe.
class GrantTable {
 public:
  GrantVerdict Check(const std::optional<Grant>& grant, Clock::TimePoint now);

 private:
  std::mutex m_mutex;
  std::unordered_map<SlotIndex, Epoch> m_highest;
};

}  // namespace citrongrade
