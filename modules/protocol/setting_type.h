#pragma once

#include <cstdint>

namespace citrongrade {

// Type of a setting or parameter in a declaration.
enum class SettingType : std::uint8_t {
  kInteger,
  // "250ms", "10s", "2m", "1h"; held in milliseconds.
  kDuration,
  // "512B", "64KiB", "8MiB", "1GiB"; held in bytes.
  kSize,
  kBoolean,
  kText,
  // A list of texts.
  kList,
};

}  // namespace citrongrade
