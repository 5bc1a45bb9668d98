#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace citrongrade {

// A node asks another for its vote, or gives one back that it can't use.
struct VoteRequest {
  std::string candidate;
  bool returns_vote = false;
  // The candidate leads, and tells a node that has lost touch with the mesh.
  bool is_leader_announcement = false;
  // The process that leads by the stored record no longer exists, so nobody
  // counts on a promise that the voter may have forgotten.
  bool is_previous_leader_gone = false;

  friend auto operator<=>(const VoteRequest&, const VoteRequest&) = default;
};

struct VoteReply {
  bool is_granted = false;
  // Who has the vote instead, or leads as far as the voter knows.
  std::string leader_hint;

  friend auto operator<=>(const VoteReply&, const VoteReply&) = default;
};

}  // namespace citrongrade
