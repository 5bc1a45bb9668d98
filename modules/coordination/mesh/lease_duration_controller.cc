#include "modules/coordination/mesh/lease_duration_controller.h"

#include <algorithm>

#include "modules/coordination/mesh/push_hold_tracker.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// A run should find so many times the mean work left of the hold: work spreads
// widely, and few runs take longer than that.
constexpr int kServiceTimesPerHold = 3;
// Leases change by this much at least: each change is a write of the record.
constexpr milliseconds kStep{100};

// What a lease has lost by the time a run begins, at worst: its age, the age of
// the hold that was granted by it, and the time that the grant may have taken.
milliseconds MaxLeaseUsedBeforeRequest(const MeshTiming& timing) {
  return timing.heartbeat_interval + PushHoldTracker::kRenewalInterval +
         PushHoldTracker::kCallTimeout;
}

}  // namespace

LeaseDurationController::LeaseDurationController(const Clock& clock,
                                                 const MeshTiming& timing,
                                                 milliseconds stored)
    : m_clock(clock),
      m_timing(timing),
      m_stored_max(std::max(stored, timing.min_lease)),
      m_pending_max(m_stored_max),
      m_desired(m_stored_max),
      m_desired_since(clock.Now()) {}

void LeaseDurationController::UpdateServiceTimes(
    std::vector<milliseconds> means) {
  if (means.empty())
    return;
  // The median: a few targets that are slow for a while don't lengthen the
  // leases of all.
  const auto middle =
      means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  const milliseconds needed =
      *middle * kServiceTimesPerHold + MaxLeaseUsedBeforeRequest(m_timing);
  const milliseconds wanted =
      std::clamp(needed, m_timing.min_lease, m_timing.max_lease);
  const bool is_longer = wanted >= m_desired + kStep;
  const bool is_shorter = wanted + kStep <= m_desired;
  if (!is_longer && !is_shorter)
    return;
  m_desired = wanted;
  m_desired_since = m_clock.Now();
}

milliseconds LeaseDurationController::DurationToGrant() const {
  return std::min({m_desired, m_stored_max, m_pending_max});
}

milliseconds LeaseDurationController::DurationToStore() const {
  const bool have_longer_ended =
      m_clock.Now() - m_desired_since >
      MaxDurationInForce() + m_timing.max_clock_drift;
  return m_desired > m_stored_max || have_longer_ended ? m_desired
                                                       : m_stored_max;
}

}  // namespace citrongrade
