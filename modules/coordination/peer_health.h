#pragma once

#include <map>

#include "modules/coordination/clock.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// Hints about other members: which were heard of, which are suspected of being
// lost, which are leaving. They guide choices (a witness, a new owner) and
// prove nothing: safety never depends on them.
class PeerHealth {
 public:
  using TimePoint = Clock::TimePoint;

  // How long a suspicion or a drain notice holds.
  explicit PeerHealth(Clock::Duration suspicion);

  void NoteHeard(const MemberId& member, TimePoint now);
  void NoteDraining(const MemberId& member, TimePoint now);
  void Suspect(const MemberId& member, TimePoint now);

  // Neither suspected nor draining.
  bool IsEligible(const MemberId& member, TimePoint now) const;
  // Some member was heard of within `window`.
  bool HeardAnyone(TimePoint now, Clock::Duration window) const;

  void Forget(const MemberId& member);

 private:
  Clock::Duration m_suspicion;
  std::map<MemberId, TimePoint> m_suspected_until;
  std::map<MemberId, TimePoint> m_draining_until;
  TimePoint m_last_heard = TimePoint::min();
};

}  // namespace citrongrade
