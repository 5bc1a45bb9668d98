#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/protocol/setting_type.h"
#include "modules/protocol/setting_value.h"

namespace citrongrade {

// Which values of a type are allowed.
struct SettingBounds {
  SettingType type = SettingType::kInteger;
  // Of numbers, durations and sizes, both inclusive.
  std::optional<std::int64_t> min;
  std::optional<std::int64_t> max;
  // Of a text, and of each text of a list. Empty: any.
  std::vector<std::string> values;

  // Why the value is not allowed; nothing when it is. The value is of `type`.
  std::optional<std::string> FindProblem(const SettingValue& value) const;

  friend auto operator<=>(const SettingBounds&, const SettingBounds&) = default;
};

}  // namespace citrongrade
