#include "modules/protocol/service_settings_codec.h"

#include <nlohmann/json.hpp>
#include <string>

#include "modules/protocol/declaration_resolver.h"
#include "modules/protocol/invalid_declaration_error.h"
#include "modules/protocol/problem_list.h"
#include "modules/protocol/service_declaration_parser.h"
#include "modules/protocol/template_parser.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

using nlohmann::json;

namespace {

json ParseBody(const ConfigEntry& entry, ProblemList& problems) {
  json body = json::parse(entry.body, nullptr, false);
  if (body.is_discarded()) {
    problems.Add("", "is not JSON");
    return nullptr;
  }
  return body;
}

void ThrowIfAny(const ConfigEntry& entry, const ProblemList& problems) {
  if (!problems.empty()) {
    throw InvalidDeclarationError(entry.name + ": " + problems.Join(),
                                  problems.problems());
  }
}

}  // namespace

ServiceSettings ServiceSettingsCodec::Decode(
    const ConfigEntry& service_template,
    const ConfigEntry& service) {
  ProblemList problems;
  const ServiceTemplate parsed_template =
      TemplateParser::Parse(ParseBody(service_template, problems), problems);
  ThrowIfAny(service_template, problems);
  const ServiceDeclaration declaration =
      ServiceDeclarationParser::Parse(ParseBody(service, problems), problems);
  ThrowIfAny(service, problems);
  ServiceSettings settings =
      DeclarationResolver::Resolve(parsed_template, declaration, problems);
  ThrowIfAny(service, problems);
  settings.template_version = service_template.version;
  settings.parameters_version = service.version;
  return settings;
}

ServiceSettingsCodec::SettingsMap ServiceSettingsCodec::DecodeAll(
    const MeshState& state) {
  SettingsMap all;
  for (const auto& [key, entry] : state.config()) {
    if (entry.kind != ConfigKind::kService) {
      continue;
    }
    ProblemList problems;
    const ServiceDeclaration declaration =
        ServiceDeclarationParser::Parse(ParseBody(entry, problems), problems);
    ThrowIfAny(entry, problems);
    const ConfigEntry* service_template = state.FindConfig(
        ConfigKind::kTemplate, declaration.template_name.value());
    if (service_template == nullptr) {
      problems.Add("template", "is not in force");
      ThrowIfAny(entry, problems);
    }
    all.emplace(declaration.id, std::make_shared<const ServiceSettings>(
                                    Decode(*service_template, entry)));
  }
  return all;
}

}  // namespace citrongrade
