#pragma once

#include <vector>

#include "modules/state/config_entry.h"

namespace citrongrade {

class MeshState;

// Templates that are in force, for declarations that use them.
class DeclarationsInForce {
 public:
  static std::vector<ConfigEntry> Templates(const MeshState& state);
};

}  // namespace citrongrade
