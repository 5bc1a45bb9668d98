#pragma once

#include <string>

#include "modules/coordination/clock.h"

namespace citrongrade {

// One node's vote: to whom it is promised, and until when.
//
// A promise can't be taken back before its time, or two nodes could lead at
// once: the old one counts on it without asking again. A process that has just
// started may have promised its vote before it died and remembers nothing of
// it, so it votes only after one promise's length. Unless it is shown that
// nobody can count on that promise: whoever does must have claimed the mesh in
// the store, and the process that did so last no longer exists. Another
// candidate that the lost promise went to can't claim any more once this one
// has. After the loss of all processes a mesh has its leader 1.2 s sooner by
// this.
//
// Thread-confined. Kin: LeadershipLease, which counts promises.
class VotePromise {
 public:
  VotePromise(const Clock& clock, Clock::Duration length);

  // Promises the vote to `candidate` from now on, if nobody else has it.
  // `is_leader_gone`: the process that claimed the mesh last is gone, and the
  // candidate claims on condition that nobody has claimed it since.
  bool Promise(const std::string& candidate, bool is_leader_gone = false);
  // `holder` does not count on it any more: it said so, or its process is gone.
  void Release(const std::string& holder);
  // Who has it now; empty: nobody.
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
