#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

#include "modules/state/mesh/target_life.h"

namespace citrongrade {

// What a target says of itself to the node beside it, about once a second.
struct TargetReport {
  TargetLife life;
  std::string service;
  // "ip:port" of its HTTP.
  std::string address;
  // Requests that it runs at once.
  std::uint32_t slots = 1;
  // It is about to leave and wants no new work.
  bool is_draining = false;
  // How much longer it is slow after its start.
  std::chrono::milliseconds cold_left{0};
  // Grows with each report of one life.
  std::uint64_t sequence = 0;

  friend auto operator<=>(const TargetReport&, const TargetReport&) = default;
};

}  // namespace citrongrade
