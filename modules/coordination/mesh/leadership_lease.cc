#include "modules/coordination/mesh/leadership_lease.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace citrongrade {

LeadershipLease::LeadershipLease(const Clock& clock,
                                 Clock::Duration promise,
                                 Clock::Duration drift,
                                 std::string self)
    : m_clock(clock),
      m_promise_validity(promise - drift),
      m_self(std::move(self)) {}

void LeadershipLease::SetVoters(std::vector<std::string> voters) {
  m_voters = std::move(voters);
  m_pending_voters.clear();
}

void LeadershipLease::SetPendingVoters(std::vector<std::string> voters) {
  m_pending_voters = std::move(voters);
}

void LeadershipLease::OnPromise(const std::string& voter,
                                Clock::TimePoint earliest) {
  Clock::TimePoint& until = m_promise_ends[voter];
  until = std::max(until, earliest + m_promise_validity);
}

void LeadershipLease::OnPromiseWithdrawn(const std::string& voter) {
  m_promise_ends.erase(voter);
}

Clock::TimePoint LeadershipLease::MajorityValidUntil(
    const std::vector<std::string>& voters) const {
  if (voters.empty())
    return Clock::TimePoint::max();
  std::vector<Clock::TimePoint> ends;
  ends.reserve(voters.size());
  for (const std::string& voter : voters) {
    const auto found = m_promise_ends.find(voter);
    // The leader's own vote can't expire: the leader itself would have to give
    // it to another candidate first.
    if (voter == m_self)
      ends.push_back(Clock::TimePoint::max());
    else
      ends.push_back(found == m_promise_ends.end() ? Clock::TimePoint::min()
                                                   : found->second);
  }
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[voters.size() / 2];
}

Clock::TimePoint LeadershipLease::ValidUntil() const {
  return std::min(MajorityValidUntil(m_voters),
                  MajorityValidUntil(m_pending_voters));
}

bool LeadershipLease::IsValid() const {
  return m_clock.Now() < ValidUntil();
}

}  // namespace citrongrade
