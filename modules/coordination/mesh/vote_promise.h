#pragma once

#include <string>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Holds one node's vote: the candidate it is promised to, and until when.
//
// A promise can't be revoked before it expires. Otherwise two nodes could lead
// at once, because the previous leader relies on the promise without asking
// again. A process that has just started may have promised its vote before it
// crashed and has no record of that, so it abstains for the duration of one
// promise.
//
// There is one exception: a candidate may show that nobody relies on the lost
// promise. Only the process that last claimed the mesh in the store could, and
// that process no longer exists. Any other candidate that got the lost promise
// can no longer claim the mesh once this candidate has. After the loss of all
// processes, a mesh gets its leader 1.2 s sooner this way.
//
// Not thread-safe. See also LeadershipLease, which counts promises.
class VotePromise {
 public:
  VotePromise(const Clock& clock, Clock::Duration length);

  // Promises the vote to `candidate` from now on, unless another node holds it.
  // `is_leader_gone`: the process that last claimed the mesh no longer exists,
  // and the candidate's claim succeeds only if nobody has claimed the mesh
  // since.
  bool Promise(const std::string& candidate, bool is_leader_gone = false);
  // Frees the vote because `holder` no longer relies on it: it returned the
  // vote, or its process no longer exists.
  void Release(const std::string& holder);
  // The current holder; empty if there is none.
  std::string holder() const;
  bool is_abstaining() const;

 private:
  const Clock& m_clock;
  const Clock::Duration m_duration;
  const Clock::TimePoint m_abstains_until;
  std::string m_holder;
  Clock::TimePoint m_until;
};

}  // namespace citrongrade
