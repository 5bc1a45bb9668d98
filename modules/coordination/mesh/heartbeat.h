#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/state/mesh/key_slot.h"
#include "modules/state/mesh/target_incarnation.h"

namespace citrongrade {

// What a node tells the leader: that it lives, what its target is and did.
struct Heartbeat {
  enum class TargetState : std::uint8_t {
    // This process has not heard of its target yet: the target may be alive and
    // still hold keys that an earlier process granted.
    kUnknown,
    kServing,
    kDraining,
    // It is gone, or has no hold left.
    kGone,
  };

  struct Target {
    TargetState state = TargetState::kUnknown;
    TargetIncarnation incarnation;
    std::string service;
    std::uint32_t concurrency = 0;
    // How much longer it says to be slow after its start.
    std::uint32_t warm_up_left_ms = 0;

    friend auto operator<=>(const Target&, const Target&) = default;
  };

  // Keys that the target gave back, by order of the leader.
  struct ReleasedRange {
    std::string service;
    SlotRange range;
    std::uint64_t fence = 0;
    // For the next holder; empty when the hold ran out instead.
    std::string handover;

    friend auto operator<=>(const ReleasedRange&,
                            const ReleasedRange&) = default;
  };

  struct SlotRequestCount {
    std::uint32_t slot = 0;
    std::uint32_t count = 0;

    friend auto operator<=>(const SlotRequestCount&,
                            const SlotRequestCount&) = default;
  };

  std::string address;
  std::string data_address;
  std::string zone;
  // How fit its host is for the work of a leader, in thousandths.
  static constexpr std::uint32_t kMaxLeaderFitnessMilli = 1000;
  std::uint32_t leader_fitness_milli = 0;
  // Drawn at the start of the process.
  std::uint64_t incarnation = 0;
  // Grows with each heartbeat of the process: a late one is known by it.
  std::uint64_t sequence = 0;
  // The node's vote is the leader's for MeshTiming::promise from now on.
  bool is_vote_promised = false;
  // Of the leader's last reply, by which it knows how old the promise is.
  std::uint64_t leader_nonce = 0;
  std::int64_t leader_stamp_ns = 0;
  // What the node knows already.
  std::uint64_t epoch = 0;
  std::uint64_t view_version = 0;
  std::uint64_t config_version = 0;
  // For so long it has not been known that no newer one is in force.
  std::uint32_t config_age_ms = 0;
  // The node was told to stop.
  bool is_leaving = false;
  // The configuration is being fetched from the source named last, or could not
  // be.
  bool is_fetching_config = false;
  bool config_fetch_failed = false;
  // Its last call to the platform's store was answered.
  bool is_store_answering = false;
  // To be answered at once: it brings news.
  bool is_urgent = false;
  Target target;
  std::vector<ReleasedRange> released;
  // Requests that came for its slots since the last heartbeat.
  std::vector<SlotRequestCount> slot_request_counts;
  // Mean time that the target takes for a request; 0 when not known.
  std::uint32_t mean_service_time_us = 0;
  // Marks of requests that were running when the target crashed.
  std::vector<std::uint64_t> crash_suspects;

  friend auto operator<=>(const Heartbeat&, const Heartbeat&) = default;
};

}  // namespace citrongrade
