#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "modules/state/identifiers.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// A node announces itself and its target. Its offset is the node's incarnation.
struct JoinRecord {
  NodeId node;
  AvailabilityZone availability_zone;
  // "ip:port" of callers' HTTP, of operators' HTTP, of the RPC that carries
  // requests, and of the RPC that carries leases and request ids.
  std::string caller_address;
  std::string control_address;
  std::string data_address;
  std::string peer_address;
  // Id of the host's boot: with an equal peer address it proves that the node's
  // earlier process is gone, since two processes can't listen there.
  std::string boot_id;
  ServiceId service;
  // Requests that the target runs at once, and connections that it accepts.
  std::uint32_t target_slots = 0;
  std::uint32_t target_connections = 0;
  // The target refuses work that carries an older epoch.
  bool target_checks_grants = false;

  friend auto operator<=>(const JoinRecord&, const JoinRecord&) = default;
};

}  // namespace citrongrade
