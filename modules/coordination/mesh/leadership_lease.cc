#include "modules/coordination/mesh/leadership_lease.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace citrongrade {

LeadershipLease::LeadershipLease(const Clock& clock,
                                 Clock::Duration promise,
                                 Clock::Duration drift,
                                 std::string self)
    : m_clock(clock), m_length(promise - drift), m_self(std::move(self)) {}

void LeadershipLease::SetVoters(std::vector<std::string> voters) {
  m_voters = std::move(voters);
  m_next_voters.clear();
}

void LeadershipLease::SetNextVoters(std::vector<std::string> voters) {
  m_next_voters = std::move(voters);
}

void LeadershipLease::OnPromise(const std::string& voter,
                                Clock::TimePoint not_after) {
  Clock::TimePoint& until = m_until[voter];
  until = std::max(until, not_after + m_length);
}

void LeadershipLease::OnWithdrawn(const std::string& voter) {
  m_until.erase(voter);
}

Clock::TimePoint LeadershipLease::MajorityUntil(
    const std::vector<std::string>& voters) const {
  if (voters.empty())
    return Clock::TimePoint::max();
  std::vector<Clock::TimePoint> ends;
  ends.reserve(voters.size());
  for (const std::string& voter : voters) {
    const auto found = m_until.find(voter);
    // The leader's own vote needs no promise: it would have to break it itself.
    if (voter == m_self)
      ends.push_back(Clock::TimePoint::max());
    else
      ends.push_back(found == m_until.end() ? Clock::TimePoint::min()
                                            : found->second);
  }
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[voters.size() / 2];
}

Clock::TimePoint LeadershipLease::ValidUntil() const {
  return std::min(MajorityUntil(m_voters), MajorityUntil(m_next_voters));
}

bool LeadershipLease::IsValid() const {
  return m_clock.Now() < ValidUntil();
}

}  // namespace citrongrade
