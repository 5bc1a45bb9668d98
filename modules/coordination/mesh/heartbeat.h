#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/coordination/mesh/crash_report.h"
#include "modules/coordination/mesh/departure_report.h"
#include "modules/state/mesh/key_slot.h"
#include "modules/state/mesh/target_incarnation.h"
#include "modules/state/mesh/zone_evacuations.h"

namespace citrongrade {

// A node's periodic report to the leader: its liveness, the state of its
// target, and what the target has released and received.
struct Heartbeat {
  enum class TargetState : std::uint8_t {
    // This process has not heard from its target yet. The target may be running
    // and still hold keys granted by an earlier process of the node.
    kUnknown,
    kServing,
    kDraining,
    // The target is gone, or holds no keys any more.
    kGone,
  };

  struct Target {
    TargetState state = TargetState::kUnknown;
    TargetIncarnation incarnation;
    std::string service;
    std::uint32_t concurrency = 0;
    // Grants that were meant for an earlier process of the target, or sent by
    // an earlier process of the node, may still hold.
    bool has_earlier_grants = false;
    // How much longer the target reports to be slow after its start.
    std::uint32_t warm_up_left_ms = 0;
    // Requests that its node sends it a second until then; 0: no limit.
    double cold_requests_per_second = 0;
    // Requests a second that it takes by a limit that it has named for a while;
    // 0: no limit.
    double named_requests_per_second = 0;

    friend auto operator<=>(const Target&, const Target&) = default;
  };

  // Keys that the target has released at the leader's order.
  struct ReleasedRange {
    std::string service;
    SlotRange range;
    std::uint64_t fence = 0;
    // Passed to the next holder; empty if the hold expired instead.
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
  // Fitness of the host to run the leader, in thousandths.
  static constexpr std::uint32_t kMaxLeaderFitnessMilli = 1000;
  std::uint32_t leader_fitness_milli = 0;
  // Random number chosen when the process starts.
  std::uint64_t incarnation = 0;
  // Increases with each heartbeat of the process, to detect delayed heartbeats.
  std::uint64_t sequence = 0;
  // The node's vote is promised to the leader for MeshTiming::promise from now
  // on.
  bool is_vote_promised = false;
  // Copied from the leader's last reply, so that the leader can tell how old
  // the promise is.
  std::uint64_t leader_nonce = 0;
  std::int64_t leader_stamp_ns = 0;
  // Versions that the node has.
  std::uint64_t epoch = 0;
  std::uint64_t view_version = 0;
  std::uint64_t config_version = 0;
  // Time since it was last known that no newer configuration is in force.
  std::uint32_t config_age_ms = 0;
  // The node has been told to shut down.
  bool is_leaving = false;
  // Whether the configuration is being fetched from the source assigned last,
  // and whether the last fetch failed.
  bool is_fetching_config = false;
  bool config_fetch_failed = false;
  // The last call to the platform's store was answered.
  bool is_store_answering = false;
  // Carries news and has to be answered at once, not at the end of the poll.
  bool is_urgent = false;
  Target target;
  std::vector<ReleasedRange> released;
  // Requests received for the node's slots since the last heartbeat.
  std::vector<SlotRequestCount> slot_request_counts;
  // Mean time that the target takes for a request; 0 if unknown.
  std::uint32_t mean_service_time_us = 0;
  // 95th percentile of the run times of the target's longest sharded route; 0
  // if unknown, also from nodes that don't report it.
  std::uint32_t long_run_us = 0;
  CrashReport crash_report;
  DepartureReport departures;
  // As this node knows them.
  ZoneEvacuations evacuations;

  friend auto operator<=>(const Heartbeat&, const Heartbeat&) = default;
};

}  // namespace citrongrade
