#pragma once

#include <compare>
#include <string>

#include "modules/state/records/config_kind.h"

namespace citrongrade {

// A checked declaration, as it is published.
struct Declaration {
  ConfigKind kind = ConfigKind::kTemplate;
  // A template's name, or "workspace/service".
  std::string name;
  // JSON text; equal declarations give equal text, whatever their comments and
  // the order of their fields.
  std::string body;
  std::string file;

  friend auto operator<=>(const Declaration&, const Declaration&) = default;
};

}  // namespace citrongrade
