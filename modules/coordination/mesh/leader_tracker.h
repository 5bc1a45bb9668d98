#pragma once

#include <chrono>
#include <map>
#include <string>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Which node this one takes for the mesh's leader, and whether that has shown
// itself to lead.
//
// A node learns of a leader from the stored record, from votes, and from nodes
// that it asked in vain, which may all be out of date. So one that is followed
// may be promised a vote only once it has answered as the leader, and hints are
// followed for so long only. Without these a leader that was killed and back at
// once left its mesh without any: two nodes sent all others to each other,
// and each visit renewed the votes that a new leader would have needed.
//
// How to use it: Follow() whom the record or a vote names, ask that node, and
// report what came of it. While nobody is followed, look for a leader.
//
// Thread-confined, no input or output. Kin: VotePromise, LeadershipLease.
class LeaderTracker {
 public:
  // `patience`: hints are followed for so long without a leader's answer.
  LeaderTracker(const Clock& clock, Clock::Duration patience);

  // Empty: nobody.
  const std::string& address() const { return m_address; }
  bool is_followed(const std::string& node) const { return m_address == node; }
  bool is_following() const { return !m_address.empty(); }

  // A source that may be right named it: it gets time to answer.
  void Follow(const std::string& node);
  void Clear();

  // The one followed answered as the leader.
  void OnLeaderReply(const std::string& node);
  // It answered that it does not lead, and whom to ask instead (may be empty).
  void OnNotLeading(const std::string& node, const std::string& hint);
  // Its process is new, and knows of no leader.
  void OnRestarted(const std::string& node);
  // It answered as the leader that it no longer is.
  void OnDeposed(const std::string& node);
  // It did not answer. True when it is given up: it was the second time.
  bool OnTimeout(const std::string& node);
  // Nobody listens at its address.
  void OnConnectionRefused(const std::string& node);

  // It has answered as the leader since it is followed.
  bool IsConfirmedLeader(const std::string& node) const;
  // It was asked in vain a short while ago.
  bool HasRecentlyFailed(const std::string& node) const;

  // This node leads, or did until now.
  void OnOwnLeadership();
  // Since a leader answered last, whoever is followed meanwhile.
  Clock::Duration TimeSinceLeaderReply() const;

 private:
  void GiveUp(const std::string& node);

  const Clock& m_clock;
  const Clock::Duration m_hint_timeout;
  std::string m_address;
  bool m_has_answered = false;
  unsigned m_failures = 0;
  Clock::TimePoint m_last_leader_reply;
  Clock::TimePoint m_followed_since;
  std::map<std::string, Clock::TimePoint> m_failed_at;
};

}  // namespace citrongrade
