#pragma once

#include "modules/state/config_validator.h"

namespace citrongrade {

// Accepts every configuration record. For tests of other rules.
class AcceptAllConfig final : public ConfigValidator {
 public:
  std::optional<std::string> FindProblem(
      const MeshState& /*state*/,
      const ConfigRecord& /*record*/) const override {
    return std::nullopt;
  }
};

}  // namespace citrongrade
