#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "modules/state/mesh/crash_suspect.h"
#include "modules/state/mesh/key_table.h"
#include "modules/state/mesh/target_departure.h"

namespace citrongrade {

// State that must survive the restart of every process of the mesh. It is
// stored as a whole by a conditional write, which fails if another node wrote
// in between, and no part takes effect before it is stored.
struct MeshRecord {
  // Raised by each leader that claims the mesh. Fencing tokens contain it, so
  // that those of a later leader are higher than all earlier ones.
  std::uint64_t epoch = 0;
  // Mesh address of the leader of this epoch.
  std::string leader;
  // Mesh addresses of the nodes that vote for a leader.
  std::vector<std::string> voters;
  std::map<std::string, KeyTable> tables;
  // Upper bound of the duration of any lease granted to a node. Zero:
  // MeshTiming::lease applies.
  std::chrono::milliseconds max_lease{0};
  std::vector<CrashSuspect> crash_suspects;
  // In order.
  std::vector<TargetDeparture> departures;

  friend bool operator==(const MeshRecord&, const MeshRecord&) = default;
};

}  // namespace citrongrade
