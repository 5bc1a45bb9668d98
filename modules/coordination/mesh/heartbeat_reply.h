#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "modules/coordination/mesh/crash_report_reply.h"
#include "modules/coordination/mesh/departure_reply.h"
#include "modules/state/mesh/mesh_view.h"
#include "modules/state/mesh/zone_evacuations.h"

namespace citrongrade {

// A node's reply to a heartbeat, normally the leader's.
struct HeartbeatReply {
  // False: the replying node does not lead, and only the fields about the
  // leader are valid.
  bool is_leader = false;
  // The replying process started a short time ago: a leader that ran at its
  // address before is gone.
  bool is_new_process = false;
  // Node to ask instead; empty if unknown.
  std::string leader_hint;
  // The leader has resigned; votes promised to it are free again.
  bool has_resigned = false;
  std::uint64_t nonce = 0;
  std::int64_t stamp_ns = 0;
  // Counted from when the heartbeat was sent; 0: no lease.
  std::uint32_t lease_ms = 0;
  // Upper bound of the length of every lease that may be in force, including
  // those of earlier processes of this node.
  std::uint32_t max_lease_ms = 0;
  // The node also reads the operators' configuration from the store, in case
  // the leader can't.
  bool reads_store = false;
  ViewDelta view;
  CrashReportReply crash_report;
  DepartureReply departures;
  // The newest version that any node has.
  std::uint64_t config_version = 0;
  // Time since it was last known that no newer version is in force.
  std::uint32_t config_age_ms = 0;
  // Node to fetch the configuration from; empty: none assigned yet.
  std::string config_source;
  ZoneEvacuations evacuations;

  friend auto operator<=>(const HeartbeatReply&,
                          const HeartbeatReply&) = default;
};

}  // namespace citrongrade
