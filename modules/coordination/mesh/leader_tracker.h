#pragma once

#include <chrono>
#include <map>
#include <string>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Tracks which node this one considers the mesh's leader, and whether that node
// has confirmed that it leads.
//
// A node learns of a leader from the stored record, from votes, and from the
// hints of nodes that do not lead; all of them may be out of date. A followed
// node may therefore be promised a vote only once it has answered as the
// leader, and hints are followed for a limited time only. Without these rules a
// leader that was killed and restarted at once left its mesh without a leader:
// two nodes kept redirecting all others to each other, and each visit renewed
// the votes that a new leader would have needed.
//
// Call Follow() with the node that the record or a vote names, ask that node,
// and report the outcome. While no node is followed, look for a leader.
//
// Not thread-safe; does no I/O. See also VotePromise and LeadershipLease.
class LeaderTracker {
 public:
  // `hint_timeout`: how long hints are followed without a leader's answer.
  LeaderTracker(const Clock& clock, Clock::Duration hint_timeout);

  // Empty if no node is followed.
  const std::string& address() const { return m_address; }
  bool is_followed(const std::string& node) const { return m_address == node; }
  bool is_following() const { return !m_address.empty(); }

  // Follows a node that a possibly current source names, and allows it the full
  // time to answer.
  void Follow(const std::string& node);
  void Clear();

  // The node answered as the leader.
  void OnLeaderReply(const std::string& node);
  // The node answered that it does not lead. `hint`: the node to ask instead,
  // may be empty.
  void OnNotLeading(const std::string& node, const std::string& hint);
  // The node's process is new and knows of no leader.
  void OnRestarted(const std::string& node);
  // The node answered as a leader that has been deposed.
  void OnDeposed(const std::string& node);
  // The node did not answer. Returns true if it is given up, which happens at
  // the second failure in a row.
  bool OnTimeout(const std::string& node);
  // Nothing listens at the node's address.
  void OnConnectionRefused(const std::string& node);

  // The node has answered as the leader since it was followed, so it may be
  // promised a vote.
  bool IsConfirmedLeader(const std::string& node) const;
  // The node was recently asked and did not act as the leader.
  bool HasRecentlyFailed(const std::string& node) const;

  // This node leads, or did until now.
  void OnOwnLeadership();
  // Time since any leader's last answer, whichever node is followed meanwhile.
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
