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
class LeaseLength {
 public:
  // `stored`: what the record says that this leader has claimed.
  LeaseLength(const Clock& clock,
              const MeshTiming& timing,
              std::chrono::milliseconds stored);

  // Mean time of a request at each target whose keys are given out.
  void OnWork(std::vector<std::chrono::milliseconds> means);

  std::chrono::milliseconds ToGrant() const;
  // What the record is to say: any lease lasts at most so long.
  std::chrono::milliseconds ToStore() const;
  void OnStoring(std::chrono::milliseconds longest) { m_storing = longest; }
  void OnStored() { m_stored = m_storing; }
  // Any lease that may be in force lasts at most so long.
  std::chrono::milliseconds Longest() const {
    return std::max(m_stored, m_storing);
  }

 private:
  const Clock& m_clock;
  const MeshTiming m_timing;
  std::chrono::milliseconds m_stored;
  // On its way to the store: either of the two may be what the record says.
  std::chrono::milliseconds m_storing;
  std::chrono::milliseconds m_wanted;
  // Since when no longer lease than this is wanted.
  Clock::TimePoint m_wanted_since;
};

}  // namespace citrongrade
