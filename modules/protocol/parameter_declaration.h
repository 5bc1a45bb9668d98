#pragma once

#include <compare>
#include <optional>
#include <string>

#include "modules/protocol/setting_bounds.h"
#include "modules/protocol/setting_value.h"

namespace citrongrade {

// A parameter that a template offers to workspaces.
struct ParameterDeclaration {
  std::string name;
  SettingBounds bounds;
  // Empty: each service has to give a value.
  std::optional<SettingValue> default_value;
  std::string description;

  friend auto operator<=>(const ParameterDeclaration&,
                          const ParameterDeclaration&) = default;
};

}  // namespace citrongrade
