#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "modules/state/service_id.h"

namespace citrongrade {

// What a target says of itself to its node, once a second.
struct TargetAnnouncement {
  enum class State : std::uint8_t { kStarting, kServing, kDraining };

  ServiceId service;
  // "ip:port" of its HTTP.
  std::string address;
  // Requests that it runs at once, and connections that it accepts.
  std::uint32_t concurrency = 0;
  std::uint32_t connections = 0;
  // It refuses work that carries an older epoch.
  bool checks_grants = false;
  State state = State::kStarting;

  friend auto operator<=>(const TargetAnnouncement&,
                          const TargetAnnouncement&) = default;
};

}  // namespace citrongrade
