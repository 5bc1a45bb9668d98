#include "programs/citrongradectl/node_finder.h"

#include <vector>

#include "modules/protocol/nearest_name.h"
#include "modules/state/mesh_state.h"
#include "programs/citrongradectl/ctl_errors.h"

namespace citrongrade {

const Member& NodeFinder::Find(const MeshState& state,
                               const std::string& node) {
  const Member* member = state.FindCurrentMember(NodeId(node));
  if (member != nullptr) {
    return *member;
  }
  std::vector<std::string> known;
  for (const Member* current : state.CurrentMembers()) {
    known.push_back(current->id.node.value());
  }
  const std::string nearest = NearestName::Find(node, known);
  std::string message = "no node " + node + " is a member";
  if (!nearest.empty()) {
    message += "; did you mean " + nearest + "?";
  }
  throw UsageError(message);
}

}  // namespace citrongrade
