#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace citrongrade {

// Requests a node's vote, returns a vote that the candidate can't use, or
// announces the candidate as the leader.
struct VoteRequest {
  std::string candidate;
  bool returns_vote = false;
  // The candidate is the leader and announces itself to a node that has lost
  // contact with the mesh.
  bool is_leader_announcement = false;
  // The process that the stored record names as leader no longer exists. A
  // promise that the voter made before a restart therefore binds nobody any
  // more.
  bool is_previous_leader_gone = false;

  friend auto operator<=>(const VoteRequest&, const VoteRequest&) = default;
};

struct VoteReply {
  bool is_granted = false;
  // The node that holds the vote instead, or the leader that the voter knows
  // of.
  std::string leader_hint;

  friend auto operator<=>(const VoteReply&, const VoteReply&) = default;
};

}  // namespace citrongrade
