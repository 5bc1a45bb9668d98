#include "modules/protocol/setting_catalogue.h"

#include <chrono>
#include <cstdint>
#include <optional>

#include "modules/state/service_settings.h"
#include "modules/state/size_limits.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kSecond = 1'000;
constexpr std::int64_t kMinute = 60 * kSecond;
constexpr std::int64_t kKibibyte = 1'024;
constexpr std::int64_t kMebibyte = 1'024 * kKibibyte;
// Beyond it a body is better uploaded in parts.
constexpr std::int64_t kMaxBody = 256 * kMebibyte;
// An id is kept in memory at the owner and its witnesses for so long.
constexpr std::int64_t kMaxResendHorizon = 15 * kMinute;
constexpr std::int64_t kMaxPathPart = 15;
constexpr std::int64_t kMaxQueued = 100'000;
constexpr std::int64_t kMaxMovesPerMinute = 600;
constexpr std::int64_t kMaxMoveBandPercent = 1'000;

std::int64_t Number(const SettingValue& value) {
  return std::get<std::int64_t>(value);
}

std::uint32_t Number32(const SettingValue& value) {
  return static_cast<std::uint32_t>(Number(value));
}

KeyRule::Source ToSource(const std::string& text) {
  if (text == "header") {
    return KeyRule::Source::kHeader;
  }
  if (text == "path-part") {
    return KeyRule::Source::kPathPart;
  }
  if (text == "query-field") {
    return KeyRule::Source::kQueryField;
  }
  return KeyRule::Source::kNone;
}

SettingBounds Whole(std::int64_t min, std::optional<std::int64_t> max) {
  return {SettingType::kInteger, min, max, {}};
}

SettingBounds Duration(std::int64_t min, std::int64_t max) {
  return {SettingType::kDuration, min, max, {}};
}

SettingBounds Size(std::int64_t min, std::int64_t max) {
  return {SettingType::kSize, min, max, {}};
}

SettingBounds Boolean() {
  return {SettingType::kBoolean, std::nullopt, std::nullopt, {}};
}

SettingBounds Text(std::vector<std::string> values) {
  return {SettingType::kText, std::nullopt, std::nullopt, std::move(values)};
}

SettingBounds Methods() {
  return {SettingType::kList,
          std::nullopt,
          std::nullopt,
          {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"}};
}

using Settings = ServiceSettings;
using Value = SettingValue;

std::vector<SettingCatalogue::Setting> MakeKeySettings() {
  return {
      {"key_source", Text({"none", "header", "path-part", "query-field"}),
       "where a request carries its key; none: not divided by key",
       [](Settings& settings, const Value& value) {
         settings.key_rule.source = ToSource(std::get<std::string>(value));
       }},
      {"key_name", Text({}), "header or query field that holds the key",
       [](Settings& settings, const Value& value) {
         settings.key_rule.name = std::get<std::string>(value);
       }},
      {"key_path_part", Whole(0, kMaxPathPart),
       "part of the path after the service's name, from 0",
       [](Settings& settings, const Value& value) {
         settings.key_rule.path_part = Number32(value);
       }},
      {"slot_count", Whole(1, SizeLimits::kMaxSlots),
       "slots that keys are hashed to; fixed once slots have owners",
       [](Settings& settings, const Value& value) {
         settings.slot_count = Number32(value);
       }},
      {"hash_seed", Whole(0, std::nullopt),
       "seed of the keys' hash; fixed once slots have owners",
       [](Settings& settings, const Value& value) {
         settings.hash_seed = static_cast<std::uint64_t>(Number(value));
       }},
  };
}

std::vector<SettingCatalogue::Setting> MakeRequestSettings() {
  return {
      {"idempotent_methods", Methods(), "methods that may run more than once",
       [](Settings& settings, const Value& value) {
         settings.idempotent_methods =
             std::get<std::vector<std::string>>(value);
       }},
      {"require_request_id", Boolean(),
       "refuse a non-idempotent request without an Idempotency-Key",
       [](Settings& settings, const Value& value) {
         settings.require_request_id = std::get<bool>(value);
       }},
      {"default_deadline", Duration(10, 10 * kMinute),
       "deadline of a request that states none",
       [](Settings& settings, const Value& value) {
         settings.default_deadline = milliseconds(Number(value));
       }},
      {"max_deadline", Duration(10, 10 * kMinute),
       "longest deadline that a caller may state",
       [](Settings& settings, const Value& value) {
         settings.max_deadline = milliseconds(Number(value));
       }},
      {"resend_horizon", Duration(kSecond, kMaxResendHorizon),
       "how long the id of a non-idempotent request is remembered",
       [](Settings& settings, const Value& value) {
         settings.resend_horizon = milliseconds(Number(value));
       }},
      {"max_body", Size(0, kMaxBody), "largest body of a request",
       [](Settings& settings, const Value& value) {
         settings.max_body_bytes = static_cast<std::uint64_t>(Number(value));
       }},
      {"long_work_body", Size(0, kMaxBody),
       "bodies from this size on count as long work",
       [](Settings& settings, const Value& value) {
         settings.long_work_body_bytes =
             static_cast<std::uint64_t>(Number(value));
       }},
  };
}

std::vector<SettingCatalogue::Setting> MakeLoadSettings() {
  return {
      {"max_queued", Whole(1, kMaxQueued), "requests that wait at one node",
       [](Settings& settings, const Value& value) {
         settings.max_queued = Number32(value);
       }},
      {"moves_per_minute", Whole(0, kMaxMovesPerMinute),
       "slots that a node may give away a minute to even out load",
       [](Settings& settings, const Value& value) {
         settings.moves_per_minute = Number32(value);
       }},
      {"move_band_percent", Whole(1, kMaxMoveBandPercent),
       "load above the mean, in percent, below which no slot is moved",
       [](Settings& settings, const Value& value) {
         settings.move_band_percent = Number32(value);
       }},
  };
}

std::vector<SettingCatalogue::Setting> MakeAll() {
  std::vector<SettingCatalogue::Setting> all = MakeKeySettings();
  for (auto group : {MakeRequestSettings(), MakeLoadSettings()}) {
    all.insert(all.end(), group.begin(), group.end());
  }
  return all;
}

}  // namespace

const std::vector<SettingCatalogue::Setting>& SettingCatalogue::All() {
  static const auto& settings = *new std::vector<Setting>(MakeAll());
  return settings;
}

const SettingCatalogue::Setting* SettingCatalogue::Find(std::string_view name) {
  for (const Setting& setting : All()) {
    if (setting.name == name) {
      return &setting;
    }
  }
  return nullptr;
}

std::vector<std::string> SettingCatalogue::Names() {
  std::vector<std::string> names;
  for (const Setting& setting : All()) {
    names.push_back(setting.name);
  }
  return names;
}

}  // namespace citrongrade
