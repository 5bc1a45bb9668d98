#include "modules/protocol/declaration_resolver.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "modules/protocol/declaration_fields.h"
#include "modules/protocol/nearest_name.h"
#include "modules/protocol/problem_list.h"
#include "modules/protocol/setting_catalogue.h"
#include "modules/protocol/setting_text.h"

namespace citrongrade {

using nlohmann::json;

namespace {

using Values = std::map<std::string, SettingValue>;

std::optional<SettingValue> ReadValue(const ParameterDeclaration& parameter,
                                      const json& value,
                                      const std::string& path,
                                      ProblemList& problems) {
  std::optional<SettingValue> read =
      SettingText::Read(value, parameter.bounds.type);
  if (!read.has_value()) {
    problems.Add(path,
                 "is not " + SettingText::Describe(parameter.bounds.type));
    return std::nullopt;
  }
  const std::optional<std::string> problem =
      parameter.bounds.FindProblem(*read);
  if (problem.has_value()) {
    problems.Add(path, *problem);
    return std::nullopt;
  }
  return read;
}

void CheckNamesKnown(const ServiceTemplate& service_template,
                     const json& given,
                     ProblemList& problems) {
  std::vector<std::string> known;
  for (const auto& [name, parameter] : service_template.parameters) {
    known.push_back(name);
  }
  for (const auto& [name, value] : given.items()) {
    if (problems.IsFull()) {
      return;
    }
    if (!service_template.parameters.contains(name)) {
      problems.Add(
          "parameters." + name,
          "is no parameter of template " + service_template.name.value(),
          NearestName::Find(name, known));
    }
  }
}

Values ReadValues(const ServiceTemplate& service_template,
                  const json& given,
                  ProblemList& problems) {
  Values values;
  for (const auto& [name, parameter] : service_template.parameters) {
    const std::string path = "parameters." + name;
    const auto found = given.find(name);
    if (found != given.end()) {
      const std::optional<SettingValue> value =
          ReadValue(parameter, *found, path, problems);
      if (value.has_value()) {
        values.emplace(name, *value);
      }
    } else if (parameter.default_value.has_value()) {
      values.emplace(name, *parameter.default_value);
    } else {
      problems.Add(path, "is missing; template " +
                             service_template.name.value() + " requires it");
    }
  }
  return values;
}

const SettingValue* FindValue(const ServiceTemplate::Source& source,
                              const Values& values) {
  const auto* reference =
      std::get_if<ServiceTemplate::ParameterReference>(&source);
  if (reference == nullptr) {
    return &std::get<SettingValue>(source);
  }
  const auto found = values.find(reference->parameter);
  return found == values.end() ? nullptr : &found->second;
}

void ApplySettings(const ServiceTemplate& service_template,
                   const Values& values,
                   ServiceSettings& settings,
                   ProblemList& problems) {
  for (const auto& [name, source] : service_template.settings) {
    const SettingCatalogue::Setting* setting = SettingCatalogue::Find(name);
    const SettingValue* value = FindValue(source, values);
    if (setting == nullptr || value == nullptr) {
      continue;
    }
    const std::optional<std::string> problem =
        setting->bounds.FindProblem(*value);
    if (problem.has_value()) {
      problems.Add("parameters", "setting " + name + " " + *problem);
      continue;
    }
    setting->apply(settings, *value);
  }
}

// A token of RFC 9110: what a header's name may be made of.
bool IsHeaderName(std::string_view name) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
      "!#$%&'*+-.^_`|~";
  return !name.empty() &&
         name.find_first_not_of(kAllowed) == std::string_view::npos;
}

void CheckKeyRule(const KeyRule& rule, ProblemList& problems) {
  if (rule.source == KeyRule::Source::kHeader && !IsHeaderName(rule.name)) {
    problems.Add("", "key_source is header, but key_name names no header");
  }
  if (rule.source == KeyRule::Source::kQueryField && rule.name.empty()) {
    problems.Add("", "key_source is query-field, but key_name is empty");
  }
}

void CheckTimes(const ServiceSettings& settings, ProblemList& problems) {
  if (settings.default_deadline > settings.max_deadline) {
    problems.Add("", "default_deadline is greater than max_deadline");
  }
  // A request may run until its deadline. Were its id forgotten before, a
  // resend that arrives while it still runs would look like a first one and
  // run a second time.
  if (settings.resend_horizon < settings.max_deadline) {
    problems.Add("", "resend_horizon is less than max_deadline");
  }
}

}  // namespace

ServiceSettings DeclarationResolver::Resolve(
    const ServiceTemplate& service_template,
    const ServiceDeclaration& declaration,
    ProblemList& problems) {
  const json given = declaration.parameters.is_object() ? declaration.parameters
                                                        : json::object();
  ServiceSettings settings;
  settings.id = declaration.id;
  CheckNamesKnown(service_template, given, problems);
  const Values values = ReadValues(service_template, given, problems);
  ApplySettings(service_template, values, settings, problems);
  if (problems.empty()) {
    CheckKeyRule(settings.key_rule, problems);
    CheckTimes(settings, problems);
  }
  return settings;
}

}  // namespace citrongrade
