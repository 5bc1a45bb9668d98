#pragma once

#include <optional>
#include <string>

#include "modules/state/records/config_record.h"

namespace citrongrade {

class MeshState;

// Decides whether a configuration record is valid in a given state. Pure: the
// same record and state give the same answer on every node, since the answer
// decides what is in force. Kin: AcceptAllConfig, for tests.
class ConfigValidator {
 public:
  virtual ~ConfigValidator() = default;

  // What is wrong with the record; nothing when it is valid.
  virtual std::optional<std::string> FindProblem(
      const MeshState& state,
      const ConfigRecord& record) const = 0;
};

}  // namespace citrongrade
