#include "programs/citrongradectl/service_settings_printer.h"

#include <nlohmann/json.hpp>
#include <string>

#include "modules/protocol/setting_text.h"
#include "modules/state/service_settings.h"

namespace citrongrade {

using nlohmann::ordered_json;

namespace {

std::string ToText(KeyRule::Source source) {
  switch (source) {
    case KeyRule::Source::kNone:
      return "none";
    case KeyRule::Source::kHeader:
      return "header";
    case KeyRule::Source::kPathPart:
      return "path-part";
    case KeyRule::Source::kQueryField:
      return "query-field";
  }
  return {};
}

std::string ToText(std::chrono::milliseconds duration) {
  return SettingText::WriteNumber(duration.count(), SettingType::kDuration);
}

std::string SizeText(std::uint64_t bytes) {
  return SettingText::WriteNumber(static_cast<std::int64_t>(bytes),
                                  SettingType::kSize);
}

}  // namespace

ordered_json ServiceSettingsPrinter::ToJson(const ServiceSettings& settings) {
  return {{"service", settings.id.ToString()},
          {"template_version", settings.template_version.value()},
          {"parameters_version", settings.parameters_version.value()},
          {"key_source", ToText(settings.key_rule.source)},
          {"key_name", settings.key_rule.name},
          {"key_path_part", settings.key_rule.path_part},
          {"slot_count", settings.slot_count},
          {"hash_seed", settings.hash_seed},
          {"idempotent_methods", settings.idempotent_methods},
          {"require_request_id", settings.require_request_id},
          {"default_deadline", ToText(settings.default_deadline)},
          {"max_deadline", ToText(settings.max_deadline)},
          {"resend_horizon", ToText(settings.resend_horizon)},
          {"max_body", SizeText(settings.max_body_bytes)},
          {"long_work_body", SizeText(settings.long_work_body_bytes)},
          {"max_queued", settings.max_queued},
          {"moves_per_minute", settings.moves_per_minute},
          {"move_band_percent", settings.move_band_percent}};
}

}  // namespace citrongrade
