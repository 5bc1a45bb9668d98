#pragma once

#include <cstdint>

namespace citrongrade {

// What a configuration entry defines.
enum class ConfigKind : std::uint8_t {
  // A kind of service: parameters with types, ranges and defaults.
  kTemplate,
  // A service of a workspace: a template and the values of its parameters.
  kService,
};

}  // namespace citrongrade
