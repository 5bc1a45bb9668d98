#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/state/mesh/mesh_view.h"

namespace citrongrade {

// The leader's answer to a heartbeat.
struct HeartbeatReply {
  // False: the one asked does not lead, and the rest says nothing but who may.
  bool is_leader = false;
  // It started a short while ago: whoever led from its address before is gone.
  bool is_new_process = false;
  // Whom to ask instead; empty when not known.
  std::string leader_hint;
  // The leader gave up; votes promised to it are free again.
  bool has_resigned = false;
  std::uint64_t nonce = 0;
  std::int64_t stamp_ns = 0;
  // Counts from when the heartbeat was sent; 0: no lease.
  std::uint32_t lease_ms = 0;
  // Any lease that may be in force, of this node's earlier processes as well,
  // lasts at most so long.
  std::uint32_t max_lease_ms = 0;
  // The node is to follow the operators' configuration in the store as well,
  // in case the leader can't.
  bool reads_store = false;
  ViewDelta view;
  std::vector<std::uint64_t> crash_suspects;
  // The newest that any node has.
  std::uint64_t config_version = 0;
  // For so long it has not been known that no newer one is in force.
  std::uint32_t config_age_ms = 0;
  // The node from which to fetch it; empty: from nobody yet.
  std::string config_source;

  friend auto operator<=>(const HeartbeatReply&,
                          const HeartbeatReply&) = default;
};

}  // namespace citrongrade
