#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "modules/state/mesh/target_incarnation.h"

namespace citrongrade {

// A node and its target, as the mesh knows them.
struct MeshMember {
  enum class State : std::uint8_t {
    // The node has not been heard from lately, or its target is gone.
    kAbsent,
    kServing,
    // The target or the node is about to leave and gets no new requests.
    kDraining,
  };

  // "ip:port" at which other nodes reach the node. It is the node's identity:
  // no two live nodes share one.
  std::string address;
  // Address to which other nodes send requests for the target.
  std::string data_address;
  std::string zone;
  // Service of the target; empty until the target has announced itself.
  std::string service;
  TargetIncarnation target;
  // Requests that the target runs concurrently.
  std::uint32_t concurrency = 0;
  State state = State::kAbsent;
  // How fit the host is to lead, in thousandths.
  std::uint32_t leader_fitness_milli = 0;

  friend auto operator<=>(const MeshMember&, const MeshMember&) = default;
};

}  // namespace citrongrade
