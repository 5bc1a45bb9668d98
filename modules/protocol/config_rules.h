#pragma once

#include <optional>
#include <string>

#include "modules/state/config_validator.h"

namespace citrongrade {

// The checks of configuration that every node makes at replay, and that
// citrongradectl makes before it publishes: the record reads well, its template
// is in force, every service of a changed template still has valid settings,
// and what decides where keys live stays as it is once slots have owners.
class ConfigRules final : public ConfigValidator {
 public:
  std::optional<std::string> FindProblem(
      const MeshState& state,
      const ConfigRecord& record) const override;
};

}  // namespace citrongrade
