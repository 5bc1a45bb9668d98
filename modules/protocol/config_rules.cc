#include "modules/protocol/config_rules.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "modules/protocol/declaration_resolver.h"
#include "modules/protocol/nearest_name.h"
#include "modules/protocol/problem_list.h"
#include "modules/protocol/service_declaration_parser.h"
#include "modules/protocol/template_parser.h"
#include "modules/state/mesh_state.h"
#include "modules/state/service_settings.h"
#include "modules/state/size_limits.h"

namespace citrongrade {

using nlohmann::json;

namespace {

json ParseBody(const std::string& body, ProblemList& problems) {
  if (body.size() > SizeLimits::kMaxConfigBodyBytes) {
    problems.Add("", "is longer than " +
                         std::to_string(SizeLimits::kMaxConfigBodyBytes) +
                         " bytes");
    return nullptr;
  }
  json parsed = json::parse(body, nullptr, false);
  if (parsed.is_discarded()) {
    problems.Add("", "is not JSON");
    return nullptr;
  }
  return parsed;
}

std::vector<std::string> TemplateNames(const MeshState& state) {
  std::vector<std::string> names;
  for (const auto& [key, entry] : state.config()) {
    if (entry.kind == ConfigKind::kTemplate) {
      names.push_back(entry.name);
    }
  }
  return names;
}

// Settings in force for a service; nothing when there are none.
std::optional<ServiceSettings> FindCurrent(const MeshState& state,
                                           const ServiceId& service) {
  const ConfigEntry* entry =
      state.FindConfig(ConfigKind::kService, service.ToString());
  if (entry == nullptr) {
    return std::nullopt;
  }
  ProblemList problems;
  const ServiceDeclaration declaration = ServiceDeclarationParser::Parse(
      ParseBody(entry->body, problems), problems);
  const ConfigEntry* service_template = state.FindConfig(
      ConfigKind::kTemplate, declaration.template_name.value());
  if (service_template == nullptr) {
    return std::nullopt;
  }
  const ServiceTemplate parsed = TemplateParser::Parse(
      ParseBody(service_template->body, problems), problems);
  ServiceSettings settings =
      DeclarationResolver::Resolve(parsed, declaration, problems);
  if (!problems.empty()) {
    return std::nullopt;
  }
  return settings;
}

// Where a key lives follows from these settings. Were they changed while slots
// have owners, nodes that read the change at different moments would send one
// key to two owners, and its request ids would stay with the earlier one.
void CheckPlacementUnchanged(const MeshState& state,
                             const ServiceSettings& settings,
                             ProblemList& problems) {
  const SlotTable* slots = state.FindSlots(settings.id);
  if (slots == nullptr) {
    return;
  }
  const std::string reason =
      " can't change once slots have owners; declare a new service";
  if (settings.slot_count != slots->slot_count()) {
    problems.Add("slot_count", std::to_string(slots->slot_count()) +
                                   " is in force and" + reason);
  }
  if (settings.hash_seed != slots->hash_seed()) {
    problems.Add("hash_seed", "it" + reason);
  }
  const std::optional<ServiceSettings> current =
      FindCurrent(state, settings.id);
  if (current.has_value() && current->key_rule != settings.key_rule) {
    problems.Add("key", "where requests carry it" + reason);
  }
}

void CheckService(const MeshState& state,
                  const ServiceTemplate& service_template,
                  const ServiceDeclaration& declaration,
                  ProblemList& problems) {
  const ServiceSettings settings =
      DeclarationResolver::Resolve(service_template, declaration, problems);
  if (problems.empty()) {
    CheckPlacementUnchanged(state, settings, problems);
  }
}

void CheckServiceRecord(const MeshState& state,
                        const ConfigRecord& record,
                        const json& body,
                        ProblemList& problems) {
  const ServiceDeclaration declaration =
      ServiceDeclarationParser::Parse(body, problems);
  if (!problems.empty()) {
    return;
  }
  if (declaration.id.ToString() != record.name) {
    problems.Add("name", "is " + declaration.id.ToString() +
                             ", the record's is " + record.name);
    return;
  }
  const std::string& name = declaration.template_name.value();
  const ConfigEntry* entry = state.FindConfig(ConfigKind::kTemplate, name);
  if (entry == nullptr) {
    problems.Add("template", "no template " + name + " is in force",
                 NearestName::Find(name, TemplateNames(state)));
    return;
  }
  const ServiceTemplate service_template =
      TemplateParser::Parse(ParseBody(entry->body, problems), problems);
  CheckService(state, service_template, declaration, problems);
}

void CheckServicesOfTemplate(const MeshState& state,
                             const ServiceTemplate& service_template,
                             ProblemList& problems) {
  for (const auto& [key, entry] : state.config()) {
    if (entry.kind != ConfigKind::kService) {
      continue;
    }
    ProblemList of_service;
    const ServiceDeclaration declaration = ServiceDeclarationParser::Parse(
        ParseBody(entry.body, of_service), of_service);
    if (declaration.template_name != service_template.name) {
      continue;
    }
    CheckService(state, service_template, declaration, of_service);
    if (!of_service.empty()) {
      problems.Add("", "it would break service " + entry.name + ": " +
                           of_service.Join());
    }
  }
}

void CheckTemplateRecord(const MeshState& state,
                         const ConfigRecord& record,
                         const json& body,
                         ProblemList& problems) {
  const ServiceTemplate service_template =
      TemplateParser::Parse(body, problems);
  if (!problems.empty()) {
    return;
  }
  if (service_template.name.value() != record.name) {
    problems.Add("name", "is " + service_template.name.value() +
                             ", the record's is " + record.name);
    return;
  }
  CheckServicesOfTemplate(state, service_template, problems);
}

}  // namespace

std::optional<std::string> ConfigRules::FindProblem(
    const MeshState& state,
    const ConfigRecord& record) const {
  ProblemList problems;
  const json body = ParseBody(record.body, problems);
  if (problems.empty()) {
    if (record.kind == ConfigKind::kTemplate) {
      CheckTemplateRecord(state, record, body, problems);
    } else {
      CheckServiceRecord(state, record, body, problems);
    }
  }
  if (problems.empty()) {
    return std::nullopt;
  }
  return problems.Join();
}

}  // namespace citrongrade
