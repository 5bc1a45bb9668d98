#pragma once

#include <string>

namespace citrongrade {

class MeshState;
struct Member;

// Finds a member by its node's name.
class NodeFinder {
 public:
  // Throws UsageError, with the nearest name that exists.
  static const Member& Find(const MeshState& state, const std::string& node);
};

}  // namespace citrongrade
