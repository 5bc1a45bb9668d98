#include "modules/coordination/peer_health.h"

#include <algorithm>

namespace citrongrade {

namespace {

bool HoldsAt(const std::map<MemberId, Clock::TimePoint>& until,
             const MemberId& member,
             Clock::TimePoint now) {
  const auto found = until.find(member);
  return found != until.end() && found->second > now;
}

}  // namespace

PeerHealth::PeerHealth(Clock::Duration suspicion) : m_suspicion(suspicion) {}

void PeerHealth::NoteHeard(const MemberId& member, TimePoint now) {
  m_suspected_until.erase(member);
  m_last_heard = std::max(m_last_heard, now);
}

void PeerHealth::NoteDraining(const MemberId& member, TimePoint now) {
  m_draining_until[member] = now + m_suspicion;
}

void PeerHealth::Suspect(const MemberId& member, TimePoint now) {
  m_suspected_until[member] = now + m_suspicion;
}

bool PeerHealth::IsEligible(const MemberId& member, TimePoint now) const {
  return !HoldsAt(m_suspected_until, member, now) &&
         !HoldsAt(m_draining_until, member, now);
}

bool PeerHealth::HeardAnyone(TimePoint now, Clock::Duration window) const {
  return m_last_heard != TimePoint::min() && now - m_last_heard <= window;
}

void PeerHealth::Forget(const MemberId& member) {
  m_suspected_until.erase(member);
  m_draining_until.erase(member);
}

}  // namespace citrongrade
