#include "modules/protocol/setting_text.h"

#include <array>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace citrongrade {

using nlohmann::json;

namespace {

struct Unit {
  std::string_view name;
  std::int64_t factor;
};

// Ascending, so that the largest one that divides a number is found last.
constexpr std::array<Unit, 4> kDurationUnits = {
    {{"ms", 1}, {"s", 1'000}, {"m", 60'000}, {"h", 3'600'000}}};
constexpr std::array<Unit, 4> kSizeUnits = {
    {{"B", 1}, {"KiB", 1'024}, {"MiB", 1'048'576}, {"GiB", 1'073'741'824}}};

constexpr std::array<std::pair<SettingType, std::string_view>, 6> kTypeNames = {
    {{SettingType::kInteger, "integer"},
     {SettingType::kDuration, "duration"},
     {SettingType::kSize, "size"},
     {SettingType::kBoolean, "boolean"},
     {SettingType::kText, "text"},
     {SettingType::kList, "list"}}};

std::optional<std::int64_t> ReadWithUnit(const json& value,
                                         const std::array<Unit, 4>& units) {
  if (!value.is_string()) {
    return std::nullopt;
  }
  const auto& text = value.get_ref<const std::string&>();
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [unit_begin, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || number < 0) {
    return std::nullopt;
  }
  const std::string_view name(unit_begin, end - unit_begin);
  for (const Unit& unit : units) {
    const bool fits =
        number <= std::numeric_limits<std::int64_t>::max() / unit.factor;
    if (unit.name == name && fits) {
      return number * unit.factor;
    }
  }
  return std::nullopt;
}

std::optional<SettingValue> ReadInteger(const json& value) {
  const bool too_large =
      value.is_number_unsigned() &&
      value.get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (!value.is_number_integer() || too_large) {
    return std::nullopt;
  }
  return value.get<std::int64_t>();
}

bool IsText(const json& value) {
  return value.is_string() && value.get_ref<const std::string&>().size() <=
                                  SettingText::kMaxTextBytes;
}

std::optional<SettingValue> ReadList(const json& value) {
  if (!value.is_array() || value.size() > SettingText::kMaxListItems) {
    return std::nullopt;
  }
  std::vector<std::string> items;
  for (const json& item : value) {
    if (!IsText(item)) {
      return std::nullopt;
    }
    items.push_back(item.get<std::string>());
  }
  return items;
}

template <typename Number>
std::optional<SettingValue> ToValue(const std::optional<Number>& number) {
  if (!number.has_value()) {
    return std::nullopt;
  }
  return SettingValue(*number);
}

std::string WriteWithUnit(std::int64_t number,
                          const std::array<Unit, 4>& units) {
  Unit largest = units.front();
  for (const Unit& unit : units) {
    if (number != 0 && number % unit.factor == 0) {
      largest = unit;
    }
  }
  return std::to_string(number / largest.factor) + std::string(largest.name);
}

}  // namespace

std::string SettingText::Write(SettingType type) {
  for (const auto& [known, name] : kTypeNames) {
    if (known == type) {
      return std::string(name);
    }
  }
  return {};
}

std::optional<SettingType> SettingText::ReadType(std::string_view text) {
  for (const auto& [known, name] : kTypeNames) {
    if (name == text) {
      return known;
    }
  }
  return std::nullopt;
}

std::optional<SettingValue> SettingText::Read(const json& value,
                                              SettingType type) {
  switch (type) {
    case SettingType::kInteger:
      return ReadInteger(value);
    case SettingType::kDuration:
      return ToValue(ReadWithUnit(value, kDurationUnits));
    case SettingType::kSize:
      return ToValue(ReadWithUnit(value, kSizeUnits));
    case SettingType::kBoolean:
      return value.is_boolean() ? std::optional<SettingValue>(value.get<bool>())
                                : std::nullopt;
    case SettingType::kText:
      return IsText(value)
                 ? std::optional<SettingValue>(value.get<std::string>())
                 : std::nullopt;
    case SettingType::kList:
      return ReadList(value);
  }
  return std::nullopt;
}

std::string SettingText::Describe(SettingType type) {
  switch (type) {
    case SettingType::kInteger:
      return "a whole number";
    case SettingType::kDuration:
      return "a duration such as 250ms, 10s or 2m";
    case SettingType::kSize:
      return "a size such as 512B, 64KiB or 8MiB";
    case SettingType::kBoolean:
      return "true or false";
    case SettingType::kText:
      return "a text of at most " + std::to_string(kMaxTextBytes) + " bytes";
    case SettingType::kList:
      return "a list of at most " + std::to_string(kMaxListItems) + " texts";
  }
  return {};
}

std::string SettingText::WriteNumber(std::int64_t number, SettingType type) {
  switch (type) {
    case SettingType::kDuration:
      return WriteWithUnit(number, kDurationUnits);
    case SettingType::kSize:
      return WriteWithUnit(number, kSizeUnits);
    default:
      return std::to_string(number);
  }
}

}  // namespace citrongrade
