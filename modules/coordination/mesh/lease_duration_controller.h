#pragma once

#include <algorithm>
#include <chrono>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/mesh/mesh_timing.h"

namespace citrongrade {

// Chooses the duration of the leases that a leader grants, based on the
// targets' service times.
//
// It addresses requests that take longer than the rest of their target's hold.
// The target aborts such a request with an error, even if the hold is renewed
// in the meantime. A long lease avoids this, but the keys of a lost node stay
// unserved for as long. Leases are therefore only as long as the service times
// require, and never longer than MeshTiming::max_lease.
//
// A later leader has to know how long any lease may last. A longer lease is
// therefore granted only once the stored mesh record contains its duration, and
// the record keeps the value until the last such lease has expired.
//
// Usage: call UpdateServiceTimes() regularly and grant leases of
// DurationToGrant(). Store DurationToStore() with the record, and report the
// start and the completion of the write.
//
// Not thread-safe; does no I/O. See also MeshLeader, which grants the leases.
class LeaseDurationController {
 public:
  // `stored`: the maximum lease duration in the record that this leader has
  // claimed.
  LeaseDurationController(const Clock& clock,
                          const MeshTiming& timing,
                          std::chrono::milliseconds stored);

  // `means`: mean service time of each target that owns keys.
  void UpdateServiceTimes(std::vector<std::chrono::milliseconds> means);

  std::chrono::milliseconds DurationToGrant() const;
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
  const Clock& m_clock;
  const MeshTiming m_timing;
  std::chrono::milliseconds m_stored_max;
  // Value in the record being written. Until the write completes, the record
  // may contain either this value or m_stored_max.
  std::chrono::milliseconds m_pending_max;
  std::chrono::milliseconds m_desired;
  // Time of the last change of m_desired. Since then no longer lease than
  // m_desired has been granted.
  Clock::TimePoint m_desired_since;
};

}  // namespace citrongrade
