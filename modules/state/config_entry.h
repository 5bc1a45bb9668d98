#pragma once

#include <compare>
#include <string>

#include "modules/state/identifiers.h"
#include "modules/state/records/config_kind.h"

namespace citrongrade {

// The version of a configuration entry that is in force.
struct ConfigEntry {
  ConfigKind kind = ConfigKind::kTemplate;
  std::string name;
  ConfigVersion version;
  std::string body;
  std::string operator_name;

  friend auto operator<=>(const ConfigEntry&, const ConfigEntry&) = default;
};

}  // namespace citrongrade
