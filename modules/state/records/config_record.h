#pragma once

#include <compare>
#include <string>

#include "modules/state/identifiers.h"
#include "modules/state/records/config_kind.h"

namespace citrongrade {

// Publishes one configuration entry. Accepted only if `based_on` is the entry's
// current version (0 if there is none yet): of two operators who publish at the
// same time, the second gets a conflict.
struct ConfigRecord {
  ConfigKind kind = ConfigKind::kTemplate;
  // A template's name, or "workspace/service".
  std::string name;
  ConfigVersion based_on;
  // The entry's contents as JSON text.
  std::string body;
  std::string operator_name;

  friend auto operator<=>(const ConfigRecord&, const ConfigRecord&) = default;
};

}  // namespace citrongrade
