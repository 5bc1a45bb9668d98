#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace citrongrade {

// A value of some SettingType: integers, milliseconds and bytes as a number.
using SettingValue =
    std::variant<std::int64_t, bool, std::string, std::vector<std::string>>;

}  // namespace citrongrade
