#include "modules/coordination/mesh/lease_duration_controller.h"

#include <algorithm>
#include <utility>

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
// The maximum required by long runs is rounded up to a multiple of this.
constexpr milliseconds kLongRunStep{200};
// The maximum is reduced to what the long runs have required in this time.
constexpr milliseconds kReductionInterval{20'000};
// Time for a heartbeat to get its reply and for a grant to be sent and
// confirmed.
constexpr milliseconds kCommunicationDelay{100};

// Worst-case part of a lease that is used up when a request starts: the age of
// the lease, the age of the hold granted under it, and the time that the grant
// call may have taken.
milliseconds MaxLeaseUsedBeforeRequest(const MeshTiming& timing) {
  return timing.heartbeat_interval + PushHoldTracker::kRenewalInterval +
         PushHoldTracker::kCallTimeout;
}

// The same with heartbeats whose reply the leader delays by up to an interval:
// just before the next reply, the lease is two intervals old.
milliseconds MaxLeaseUsedBeforeLongRun(const MeshTiming& timing) {
  return MaxLeaseUsedBeforeRequest(timing) + timing.heartbeat_interval +
         kCommunicationDelay;
}

milliseconds RoundUp(milliseconds duration) {
  return (duration + kLongRunStep - milliseconds(1)) / kLongRunStep *
         kLongRunStep;
}

}  // namespace

LeaseDurationController::LeaseDurationController(const Clock& clock,
                                                 const MeshTiming& timing,
                                                 milliseconds stored)
    : m_clock(clock),
      m_timing(timing),
      m_stored_max(std::max(stored, timing.min_lease)),
      m_pending_max(m_stored_max),
      m_desired_by_means(m_stored_max),
      m_peak_since(clock.Now()),
      m_desired(m_stored_max),
      m_desired_since(clock.Now()) {}

void LeaseDurationController::UpdateServiceTimes(
    std::vector<milliseconds> means) {
  if (means.empty()) {
    // Nodes that report long runs need no longer lease for their means.
    if (m_desired_by_long_runs)
      m_desired_by_means.reset();
    return;
  }
  // Uses the median, so that a few targets that are slow for a while don't
  // lengthen all leases.
  const auto middle =
      means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  const milliseconds needed =
      *middle * kServiceTimesPerHold + MaxLeaseUsedBeforeRequest(m_timing);
  const milliseconds desired =
      std::clamp(needed, m_timing.min_lease, m_timing.max_lease);
  const milliseconds present = m_desired_by_means.value_or(milliseconds(0));
  const bool is_longer = desired >= present + kStep;
  const bool is_shorter = desired + kStep <= present;
  if (!is_longer && !is_shorter)
    return;
  m_desired_by_means = desired;
  UpdateDesired();
}

milliseconds LeaseDurationController::DurationFor(milliseconds long_run) const {
  // The target counts the hold by a clock that may run slow.
  const std::chrono::duration<double, std::milli> hold =
      (long_run + PushHoldTracker::kServeMargin) /
      PushHoldTracker::kMinTargetClockRate;
  const milliseconds needed = std::chrono::ceil<milliseconds>(hold) +
                              MaxLeaseUsedBeforeLongRun(m_timing);
  return std::clamp(needed, m_timing.min_lease, m_timing.max_lease);
}

void LeaseDurationController::UpdateLongRuns(
    const std::vector<milliseconds>& long_runs) {
  if (long_runs.empty() && !m_desired_by_long_runs)
    return;
  milliseconds needed = m_timing.min_lease;
  for (const milliseconds long_run : long_runs)
    needed = std::max(needed, DurationFor(long_run));
  if (needed > m_timing.min_lease)
    needed = std::min(RoundUp(needed), m_timing.max_lease);
  const Clock::TimePoint now = m_clock.Now();
  if (!m_desired_by_long_runs) {
    m_desired_by_long_runs = m_desired;
    m_peak_since = now;
  }
  m_long_runs_peak = std::max(m_long_runs_peak, needed);
  if (needed > *m_desired_by_long_runs) {
    m_desired_by_long_runs = needed;
    m_peak_since = now;
  } else if (now - m_peak_since >= kReductionInterval) {
    m_desired_by_long_runs = std::exchange(m_long_runs_peak, needed);
    m_peak_since = now;
  }
  UpdateDesired();
}

void LeaseDurationController::UpdateDesired() {
  const milliseconds desired =
      std::max(m_desired_by_means.value_or(m_timing.min_lease),
               m_desired_by_long_runs.value_or(m_timing.min_lease));
  if (desired == m_desired)
    return;
  m_desired = desired;
  m_desired_since = m_clock.Now();
}

milliseconds LeaseDurationController::DurationToGrant() const {
  return std::min({m_desired, m_stored_max, m_pending_max});
}

milliseconds LeaseDurationController::DurationToGrant(
    milliseconds long_run) const {
  return std::min(DurationFor(long_run), DurationToGrant());
}

milliseconds LeaseDurationController::DurationToStore() const {
  const bool have_longer_leases_ended =
      m_clock.Now() - m_desired_since >
      MaxDurationInForce() + m_timing.max_clock_drift;
  return m_desired > m_stored_max || have_longer_leases_ended ? m_desired
                                                              : m_stored_max;
}

}  // namespace citrongrade
