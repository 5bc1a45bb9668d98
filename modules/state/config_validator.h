#pragma once

#include <optional>
#include <string>

#include "modules/state/records/config_record.h"

namespace citrongrade {

class MeshState;

// Decides whether a configuration record is valid in a given state. Must be
// pure: the result decides which configuration is in force, so it has to be the
// same on every node for the same record and state. See also AcceptAllConfig,
// for tests.
class ConfigValidator {
 public:
  virtual ~ConfigValidator() = default;

  // Describes what is wrong with the record; nullopt if it is valid.
  virtual std::optional<std::string> FindProblem(
      const MeshState& state,
      const ConfigRecord& record) const = 0;
};

}  // namespace citrongrade
