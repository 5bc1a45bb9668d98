#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "modules/protocol/setting_type.h"
#include "modules/protocol/setting_value.h"

namespace citrongrade {

// How types and values are written in declarations.
class SettingText {
 public:
  static constexpr std::size_t kMaxTextBytes = 256;
  static constexpr std::size_t kMaxListItems = 32;

  // "integer", "duration", "size", "boolean", "text", "list".
  static std::string Write(SettingType type);
  static std::optional<SettingType> ReadType(std::string_view text);

  // Nothing when the value is not of the type.
  static std::optional<SettingValue> Read(const nlohmann::json& value,
                                          SettingType type);
  // What a value of the type looks like, for messages.
  static std::string Describe(SettingType type);

  // A number with its unit, for messages: "2m", "64KiB".
  static std::string WriteNumber(std::int64_t number, SettingType type);
};

}  // namespace citrongrade
