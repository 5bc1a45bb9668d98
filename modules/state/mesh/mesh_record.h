#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "modules/state/mesh/key_table.h"

namespace citrongrade {

// What must outlast every process of the mesh. Stored whole, under a condition
// that nobody else wrote meanwhile, before any of it takes effect.
struct MeshRecord {
  // Grows with each leader that claimed the mesh. Fencing tokens contain it, so
  // that those of a later leader are higher than all before.
  std::uint64_t epoch = 0;
  // Mesh address of that leader.
  std::string leader;
  // Mesh addresses of the nodes whose votes make a leader.
  std::vector<std::string> voters;
  std::map<std::string, KeyTable> tables;
  // Any lease that was granted to a node lasts at most so long; zero: what
  // MeshTiming::lease says.
  std::chrono::milliseconds max_lease{0};

  friend bool operator==(const MeshRecord&, const MeshRecord&) = default;
};

}  // namespace citrongrade
