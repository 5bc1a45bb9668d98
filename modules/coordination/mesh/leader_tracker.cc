#include "modules/coordination/mesh/leader_tracker.h"

#include <algorithm>

namespace citrongrade {

namespace {

// One answer may get lost; a frozen or lost leader does not answer twice in a
// row.
constexpr unsigned kMaxFailures = 2;
// A node that did not act as the leader is not asked again for this long:
// longer than a vote is promised, so that another can be elected meanwhile.
constexpr std::chrono::milliseconds kFailedNodeBackoff{1500};

}  // namespace

LeaderTracker::LeaderTracker(const Clock& clock, Clock::Duration hint_timeout)
    : m_clock(clock),
      m_hint_timeout(hint_timeout),
      m_last_leader_reply(clock.Now()) {}

void LeaderTracker::Follow(const std::string& node) {
  m_address = node;
  m_has_answered = false;
  m_failures = 0;
  m_followed_since = m_clock.Now();
}

void LeaderTracker::Clear() {
  m_address.clear();
  m_has_answered = false;
  m_failures = 0;
}

void LeaderTracker::OnLeaderReply(const std::string& node) {
  m_last_leader_reply = m_clock.Now();
  if (!is_followed(node))
    return;
  m_failures = 0;
  m_has_answered = true;
}

void LeaderTracker::OnNotLeading(const std::string& node,
                                 const std::string& hint) {
  if (!is_followed(node))
    return;
  m_has_answered = false;
  const Clock::TimePoint since =
      std::max(m_followed_since, m_last_leader_reply);
  if (m_clock.Now() - since > m_hint_timeout || hint == node) {
    GiveUp(node);
    return;
  }
  if (hint.empty())
    return;
  m_address = hint;
  m_failures = 0;
}

void LeaderTracker::OnRestarted(const std::string& node) {
  if (is_followed(node))
    GiveUp(node);
}

void LeaderTracker::OnDeposed(const std::string& node) {
  if (is_followed(node))
    GiveUp(node);
}

bool LeaderTracker::OnTimeout(const std::string& node) {
  if (!is_followed(node) || ++m_failures < kMaxFailures)
    return false;
  GiveUp(node);
  return true;
}

void LeaderTracker::OnConnectionRefused(const std::string& node) {
  m_failed_at[node] = m_clock.Now();
  if (is_followed(node))
    Clear();
}

void LeaderTracker::GiveUp(const std::string& node) {
  m_failed_at[node] = m_clock.Now();
  Clear();
}

bool LeaderTracker::IsConfirmedLeader(const std::string& node) const {
  return is_followed(node) && m_has_answered;
}

bool LeaderTracker::HasRecentlyFailed(const std::string& node) const {
  const auto found = m_failed_at.find(node);
  return found != m_failed_at.end() &&
         m_clock.Now() - found->second <= kFailedNodeBackoff;
}

void LeaderTracker::OnOwnLeadership() {
  m_last_leader_reply = m_clock.Now();
}

Clock::Duration LeaderTracker::TimeSinceLeaderReply() const {
  return m_clock.Now() - m_last_leader_reply;
}

}  // namespace citrongrade
