#pragma once

#include <cstdint>

namespace citrongrade {

// What a configuration entry declares.
enum class ConfigKind : std::uint8_t {
  // What a service is: parameters with types, ranges, defaults.
  kTemplate,
  // A workspace's service: a template and the values of its parameters.
  kService,
};

}  // namespace citrongrade
