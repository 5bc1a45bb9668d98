#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "modules/coordination/mesh/polling_hold_tracker.h"
#include "modules/state/mesh/target_incarnation.h"

namespace citrongrade {

// What a target says of itself to the node beside it, about once a second.
struct TargetReport {
  TargetIncarnation incarnation;
  std::string service;
  // "ip:port" of its HTTP.
  std::string address;
  // Requests that it runs at once.
  std::uint32_t concurrency = 1;
  // It is about to leave and wants no new work.
  bool is_draining = false;
  // How much longer it is slow after its start.
  std::chrono::milliseconds cold_left{0};
  // Grows with each report of one life.
  std::uint64_t sequence = 0;
  // What it holds, where the platform has targets say so. Nothing: it says
  // nothing, or nothing that can be read.
  std::optional<PollingHoldTracker::Report> holds;
  // Why what it says of its holds can't be read; empty when it can.
  std::string holds_problem;

  friend auto operator<=>(const TargetReport&, const TargetReport&) = default;
};

}  // namespace citrongrade
