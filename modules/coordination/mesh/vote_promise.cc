#include "modules/coordination/mesh/vote_promise.h"

namespace citrongrade {

VotePromise::VotePromise(const Clock& clock, Clock::Duration length)
    : m_clock(clock),
      m_duration(length),
      m_abstains_until(clock.Now() + length) {}

bool VotePromise::Promise(const std::string& candidate, bool is_leader_gone) {
  const std::string current = holder();
  if (is_abstaining() && !is_leader_gone && current != candidate)
    return false;
  if (!current.empty() && current != candidate)
    return false;
  m_holder = candidate;
  m_until = m_clock.Now() + m_duration;
  return true;
}

void VotePromise::Release(const std::string& holder) {
  if (m_holder == holder)
    m_holder.clear();
}

std::string VotePromise::holder() const {
  return m_clock.Now() < m_until ? m_holder : std::string();
}

bool VotePromise::is_abstaining() const {
  return m_clock.Now() < m_abstains_until;
}

}  // namespace citrongrade
