#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/mesh/mesh_timing.h"

namespace citrongrade {

// Chooses the duration of the leases that a leader grants, based on how long
// the targets' requests run.
//
// It addresses requests that take longer than the rest of their target's hold.
// The target aborts such a request with an error, even if the hold is renewed
// in the meantime. A long lease avoids this, but the keys of a lost node stay
// unserved for as long. Leases are therefore only as long as the run times
// require, and never longer than MeshTiming::max_lease.
//
// A node that reports the long runs of its target gets a lease by which the
// hold left at the start of any run covers a long run. A target that is slow
// for a while thus lengthens its own lease only. Nodes of earlier versions
// report no long runs; their leases depend on the mean service times.
//
// A later leader has to know how long any lease may last. A longer lease is
// therefore granted only once the stored mesh record contains its duration, and
// the record keeps the value until the last such lease has expired.
//
// The maximum follows longer runs at once and shorter ones slowly, because each
// change requires a write of the record.
//
// Usage: call UpdateServiceTimes() and UpdateLongRuns() regularly and grant
// leases of DurationToGrant(). Store DurationToStore() with the record, and
// report the start and the completion of the write.
//
// Not thread-safe; does no I/O. See also MeshLeader, which grants the leases.
class LeaseDurationController {
 public:
  // `stored`: the maximum lease duration in the record that this leader has
  // claimed.
  LeaseDurationController(const Clock& clock,
                          const MeshTiming& timing,
                          std::chrono::milliseconds stored);

  // `means`: mean service time of each target that owns keys and whose node
  // doesn't report its long runs.
  void UpdateServiceTimes(std::vector<std::chrono::milliseconds> means);
  // `long_runs`: run time of the long runs of each target that owns keys and
  // whose node reports them.
  void UpdateLongRuns(const std::vector<std::chrono::milliseconds>& long_runs);

  // Lease of a node that doesn't report the long runs of its target.
  std::chrono::milliseconds DurationToGrant() const;
  // Lease of a node whose target's long runs take this long.
  std::chrono::milliseconds DurationToGrant(
      std::chrono::milliseconds long_run) const;
  // Upper bound of all leases, to be written to the record.
  std::chrono::milliseconds DurationToStore() const;
  void OnStoreStarted(std::chrono::milliseconds max_lease) {
    m_pending_max = max_lease;
  }
  void OnStoreCompleted() { m_stored_max = m_pending_max; }
  // Upper bound of every lease that may be in force.
  std::chrono::milliseconds MaxDurationInForce() const {
    return std::max(m_stored_max, m_pending_max);
  }

 private:
  std::chrono::milliseconds DurationFor(
      std::chrono::milliseconds long_run) const;
  void UpdateDesired();

  const Clock& m_clock;
  const MeshTiming m_timing;
  std::chrono::milliseconds m_stored_max;
  // Value in the record being written. Until the write completes, the record
  // may contain either this value or m_stored_max.
  std::chrono::milliseconds m_pending_max;
  // Required by the mean service times; empty if there are only nodes that
  // report long runs.
  std::optional<std::chrono::milliseconds> m_desired_by_means;
  // Required by the long runs; empty until a node has reported one.
  std::optional<std::chrono::milliseconds> m_desired_by_long_runs;
  // Longest lease that the long runs have required since m_peak_since.
  std::chrono::milliseconds m_long_runs_peak{0};
  Clock::TimePoint m_peak_since;
  // The maximum of both.
  std::chrono::milliseconds m_desired;
  // Time of the last change of m_desired. Since then no longer lease than
  // m_desired has been granted.
  Clock::TimePoint m_desired_since;
};

}  // namespace citrongrade
