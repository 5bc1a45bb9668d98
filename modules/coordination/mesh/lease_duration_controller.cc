#include "modules/coordination/mesh/lease_duration_controller.h"

#include <algorithm>

#include "modules/coordination/mesh/push_hold_tracker.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// When a request starts, its target's hold should last at least this many times
// the mean service time. Service times vary widely, but few requests take
// longer than that.
constexpr int kServiceTimesPerHold = 3;
// Smallest change of the lease duration. Each change requires a write of the
// record.
constexpr milliseconds kStep{100};

// Worst-case part of a lease that is used up when a request starts: the age of
// the lease, the age of the hold granted under it, and the time that the grant
// call may have taken.
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
  // Uses the median, so that a few targets that are slow for a while don't
  // lengthen all leases.
  const auto middle =
      means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  const milliseconds needed =
      *middle * kServiceTimesPerHold + MaxLeaseUsedBeforeRequest(m_timing);
  const milliseconds desired =
      std::clamp(needed, m_timing.min_lease, m_timing.max_lease);
  const bool is_longer = desired >= m_desired + kStep;
  const bool is_shorter = desired + kStep <= m_desired;
  if (!is_longer && !is_shorter)
    return;
  m_desired = desired;
  m_desired_since = m_clock.Now();
}

milliseconds LeaseDurationController::DurationToGrant() const {
  return std::min({m_desired, m_stored_max, m_pending_max});
}

milliseconds LeaseDurationController::DurationToStore() const {
  const bool have_longer_leases_ended =
      m_clock.Now() - m_desired_since >
      MaxDurationInForce() + m_timing.max_clock_drift;
  return m_desired > m_stored_max || have_longer_leases_ended ? m_desired
                                                              : m_stored_max;
}

}  // namespace citrongrade
