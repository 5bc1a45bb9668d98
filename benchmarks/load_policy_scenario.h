#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "benchmarks/load_policy_stream.h"
#include "modules/coordination/load/slot_move_planner.h"

namespace citrongrade {

class LoadPolicyMesh;

// One pattern of load: a mesh, its callers, and what goes wrong.
struct LoadPolicyScenario {
  struct Incident {
    std::chrono::milliseconds at{0};
    std::function<void(LoadPolicyMesh&)> strike;
  };

  std::string name;
  bool divided_by_key = true;
  std::size_t targets = 7;
  std::size_t slots_per_target = 12;
  std::size_t connections_per_target = 110;
  // Key slots of the service; for a divided one only.
  std::size_t key_slots = 448;
  SlotMovePlanner::Parameters moves;
  std::chrono::seconds duration{60};
  std::vector<LoadPolicyStream> streams;
  std::vector<Incident> incidents;
  // How often a caller sends again what it has lost or was refused.
  unsigned most_resends = 0;
  // Share of the whole that the policy may be judged by, at the run's end.
  double steady_part = 0.5;
};

}  // namespace citrongrade
