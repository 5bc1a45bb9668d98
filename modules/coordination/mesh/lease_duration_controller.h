#pragma once

#include <algorithm>
#include <chrono>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/mesh/mesh_timing.h"

namespace citrongrade {

// For how long a leader grants leases, by how long the targets' work takes.
//
// Load pattern: work that takes longer than what is left of its target's hold
// when it begins. The target ends it with a failure, and renewing the hold
// meanwhile does not save it. A long lease avoids that, but the keys of a lost
// node are unserved for as long: so leases are as long as the work calls for,
// and no longer than MeshTiming::longest_lease.
//
// A later leader has to know how long any lease may last. So a longer one is
// granted only once the mesh's record says so, and the record says it until the
// last of them has run out.
//
// How to use it: OnWork() now and then; grant ToGrant(). Store ToStore() with
// the record, and tell when that begins and when it took effect.
//
// Thread-confined, no input or output. Kin: MeshLeader, which grants.
class LeaseDurationController {
 public:
  // `stored`: what the record says that this leader has claimed.
  LeaseDurationController(const Clock& clock,
                          const MeshTiming& timing,
                          std::chrono::milliseconds stored);

  // Mean time of a request at each target whose keys are given out.
  void UpdateServiceTimes(std::vector<std::chrono::milliseconds> means);

  std::chrono::milliseconds DurationToGrant() const;
  // What the record is to say: any lease lasts at most so long.
  std::chrono::milliseconds DurationToStore() const;
  void OnStoreStarted(std::chrono::milliseconds longest) {
    m_pending_max = longest;
  }
  void OnStoreCompleted() { m_stored_max = m_pending_max; }
  // Any lease that may be in force lasts at most so long.
  std::chrono::milliseconds MaxDurationInForce() const {
    return std::max(m_stored_max, m_pending_max);
  }

 private:
  const Clock& m_clock;
  const MeshTiming m_timing;
  std::chrono::milliseconds m_stored_max;
  // On its way to the store: either of the two may be what the record says.
  std::chrono::milliseconds m_pending_max;
  std::chrono::milliseconds m_desired;
  // Since when no longer lease than this is wanted.
  Clock::TimePoint m_desired_since;
};

}  // namespace citrongrade
