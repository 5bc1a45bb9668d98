#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "modules/state/mesh/target_incarnation.h"

namespace citrongrade {

// A node and the target beside it, as the mesh knows them.
struct MeshMember {
  enum class State : std::uint8_t {
    // Nobody has heard of it lately, or its target is gone.
    kAbsent,
    kServing,
    // Its target, or the node itself, is about to leave: no new work.
    kDraining,
  };

  // "ip:port" where other nodes talk to it. Its identity: no two live nodes
  // share one.
  std::string address;
  // Where other nodes send requests for its target.
  std::string data_address;
  std::string zone;
  // The service of its target; empty until the target has announced itself.
  std::string service;
  TargetIncarnation target;
  // Requests that the target runs at once.
  std::uint32_t concurrency = 0;
  State state = State::kAbsent;
  // How fit its host is for the work of a leader, in thousandths.
  std::uint32_t leader_fitness_milli = 0;

  friend auto operator<=>(const MeshMember&, const MeshMember&) = default;
};

}  // namespace citrongrade
