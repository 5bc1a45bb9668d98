#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "modules/coordination/mesh/polling_hold_tracker.h"
#include "modules/state/mesh/target_incarnation.h"

namespace citrongrade {

// State that a target reports to the node beside it, about once a second.
struct TargetReport {
  TargetIncarnation incarnation;
  std::string service;
  // "ip:port" of its HTTP server.
  std::string address;
  // Number of requests that it runs at the same time.
  std::uint32_t concurrency = 1;
  // The target is about to leave and wants no new requests.
  bool is_draining = false;
  // Time left of its warm-up, in which it is slow.
  std::chrono::milliseconds warm_up_left{0};
  // Increases with each report of one incarnation.
  std::uint64_t sequence = 0;
  // The ranges that it holds, on platforms where targets report them. Empty if
  // it reports none, or if they can't be parsed.
  std::optional<PollingHoldTracker::Report> holds;
  // Why the reported holds can't be parsed; empty if they can.
  std::string holds_problem;

  friend auto operator<=>(const TargetReport&, const TargetReport&) = default;
};

}  // namespace citrongrade
