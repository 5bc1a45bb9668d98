#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/protocol/declaration.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

class MeshState;

// How one declaration differs from what is in force.
struct ConfigDiff {
  enum class Status : std::uint8_t { kNew, kChanged, kUnchanged, kOnlyInForce };
  struct FieldChange {
    std::string field;
    // JSON text; empty where the field is missing.
    std::string in_force;
    std::string declared;

    friend auto operator<=>(const FieldChange&, const FieldChange&) = default;
  };

  ConfigKind kind = ConfigKind::kTemplate;
  std::string name;
  Status status = Status::kNew;
  // Version in force; 0 for none.
  ConfigVersion version;
  std::vector<FieldChange> changes;

  // Declarations first, in their order, then entries that no file declares.
  static std::vector<ConfigDiff> Compare(
      const std::vector<Declaration>& declarations,
      const MeshState& state);

  static std::string ToText(Status status);

  friend auto operator<=>(const ConfigDiff&, const ConfigDiff&) = default;
};

}  // namespace citrongrade
