#include "programs/citrongrade-target-standin/grant_table.h"

#include <mutex>
#include <optional>

namespace citrongrade {

GrantVerdict GrantTable::Check(const std::optional<Grant>& grant,
                               Clock::TimePoint now) {
  if (!grant)
    return GrantVerdict::kMissing;
  if (now >= grant->valid_until)
    return GrantVerdict::kLapsed;
  const std::lock_guard lock(m_mutex);
  Epoch& highest = m_highest[grant->slot];
  if (grant->epoch < highest)
    return GrantVerdict::kOldEpoch;
  highest = grant->epoch;
  return GrantVerdict::kGood;
}

}  // namespace citrongrade
