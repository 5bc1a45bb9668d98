#include "modules/protocol/setting_bounds.h"

#include <algorithm>

#include "modules/protocol/setting_text.h"

namespace citrongrade {

namespace {

std::string JoinValues(const std::vector<std::string>& values) {
  std::string text;
  for (const std::string& value : values) {
    text += text.empty() ? value : ", " + value;
  }
  return text;
}

}  // namespace

std::optional<std::string> SettingBounds::FindProblem(
    const SettingValue& value) const {
  if (const auto* number = std::get_if<std::int64_t>(&value)) {
    if (min.has_value() && *number < *min) {
      return "is less than " + SettingText::WriteNumber(*min, type);
    }
    if (max.has_value() && *number > *max) {
      return "is greater than " + SettingText::WriteNumber(*max, type);
    }
    return std::nullopt;
  }
  std::vector<std::string> texts;
  if (const auto* text = std::get_if<std::string>(&value)) {
    texts.push_back(*text);
  } else if (const auto* list = std::get_if<std::vector<std::string>>(&value)) {
    texts = *list;
  }
  for (const std::string& text : texts) {
    const bool allowed =
        values.empty() ||
        std::find(values.begin(), values.end(), text) != values.end();
    if (!allowed) {
      return "\"" + text + "\" is none of: " + JoinValues(values);
    }
  }
  return std::nullopt;
}

}  // namespace citrongrade
