#include "programs/citrongradectl/declarations_in_force.h"

#include "modules/state/mesh_state.h"

namespace citrongrade {

std::vector<ConfigEntry> DeclarationsInForce::Templates(
    const MeshState& state) {
  std::vector<ConfigEntry> templates;
  for (const auto& [key, entry] : state.config()) {
    if (entry.kind == ConfigKind::kTemplate) {
      templates.push_back(entry);
    }
  }
  return templates;
}

}  // namespace citrongrade
