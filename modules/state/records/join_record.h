#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "modules/state/identifiers.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// Announces a node and its target. The record's offset becomes the node's
// incarnation.
struct JoinRecord {
  NodeId node;
  AvailabilityZone availability_zone;
  // "ip:port" for HTTP from callers, HTTP from operators, the RPC that carries
  // requests, and the RPC that carries leases and request ids.
  std::string caller_address;
  std::string control_address;
  std::string data_address;
  std::string peer_address;
  // Boot id of the host. If boot id and peer address are both unchanged, the
  // node's earlier process has ended, since two processes can't listen on the
  // same address.
  std::string boot_id;
  ServiceId service;
  // Requests that the target runs concurrently, and connections that it
  // accepts.
  std::uint32_t target_slots = 0;
  std::uint32_t target_connections = 0;
  // Whether the target refuses requests that carry an older epoch.
  bool target_checks_grants = false;

  friend auto operator<=>(const JoinRecord&, const JoinRecord&) = default;
};

}  // namespace citrongrade
