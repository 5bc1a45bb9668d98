#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// A node that may serve a request, as this node's replay of the log has it.
struct Route {
  MemberId member;
  AvailabilityZone availability_zone;
  // "ip:port" of its data RPC.
  std::string data_address;
  // The request's slot and its owner's epoch.
  SlotIndex slot;
  Epoch epoch;
  bool is_local = false;
  // Requests that the member's target runs at once.
  std::uint32_t target_slots = 1;

  friend auto operator<=>(const Route&, const Route&) = default;
};

}  // namespace citrongrade
