#include "modules/protocol/template_parser.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "modules/protocol/declaration_fields.h"
#include "modules/protocol/declaration_name.h"
#include "modules/protocol/nearest_name.h"
#include "modules/protocol/problem_list.h"
#include "modules/protocol/setting_catalogue.h"
#include "modules/protocol/setting_text.h"

namespace citrongrade {

using nlohmann::json;

namespace {

bool IsNumeric(SettingType type) {
  return type == SettingType::kInteger || type == SettingType::kDuration ||
         type == SettingType::kSize;
}

bool IsTextual(SettingType type) {
  return type == SettingType::kText || type == SettingType::kList;
}

std::optional<std::int64_t> ReadBound(DeclarationFields& fields,
                                      std::string_view name,
                                      SettingType type) {
  if (fields.Has(name) && !IsNumeric(type)) {
    fields.Find(name);
    fields.Add(name, "is only for integer, duration and size");
    return std::nullopt;
  }
  const std::optional<SettingValue> value = fields.Value(name, type);
  if (!value.has_value()) {
    return std::nullopt;
  }
  return std::get<std::int64_t>(*value);
}

void ReadValues(DeclarationFields& fields, SettingBounds& bounds) {
  if (fields.Has("values") && !IsTextual(bounds.type)) {
    fields.Find("values");
    fields.Add("values", "is only for text and list");
    return;
  }
  const std::optional<SettingValue> values =
      fields.Value("values", SettingType::kList);
  if (values.has_value()) {
    bounds.values = std::get<std::vector<std::string>>(*values);
  }
}

bool ReadRequired(DeclarationFields& fields) {
  const std::optional<SettingValue> required =
      fields.Value("required", SettingType::kBoolean);
  return required.has_value() && std::get<bool>(*required);
}

void ReadDefault(DeclarationFields& fields, ParameterDeclaration& parameter) {
  const bool required = ReadRequired(fields);
  if (fields.Has("default") == required) {
    fields.Add("default", required ? "contradicts required: true"
                                   : "is missing; or say required: true");
  }
  parameter.default_value = fields.Value("default", parameter.bounds.type);
  if (parameter.default_value.has_value()) {
    const std::optional<std::string> problem =
        parameter.bounds.FindProblem(*parameter.default_value);
    if (problem.has_value()) {
      fields.Add("default", *problem);
    }
  }
}

std::optional<SettingType> ReadType(DeclarationFields& fields) {
  const json* text = fields.Find("type");
  if (text == nullptr) {
    fields.Add("type", "is missing");
    return std::nullopt;
  }
  const std::string name = text->is_string() ? text->get<std::string>() : "";
  const std::optional<SettingType> type = SettingText::ReadType(name);
  if (!type.has_value()) {
    const std::vector<std::string> known = {"integer", "duration", "size",
                                            "boolean", "text",     "list"};
    fields.Add("type",
               "is none of integer, duration, size, boolean, text, list",
               NearestName::Find(name, known));
  }
  return type;
}

std::optional<ParameterDeclaration> ReadParameter(const std::string& name,
                                                  const json& value,
                                                  ProblemList& problems) {
  const std::string path = "parameters." + name;
  if (!DeclarationName::IsValid(name)) {
    problems.Add(path, "is not a name: " + DeclarationName::Describe());
  }
  DeclarationFields fields(value, path, problems);
  if (!value.is_object()) {
    return std::nullopt;
  }
  const std::optional<SettingType> type = ReadType(fields);
  if (!type.has_value()) {
    return std::nullopt;
  }
  ParameterDeclaration parameter;
  parameter.name = name;
  parameter.bounds.type = *type;
  parameter.bounds.min = ReadBound(fields, "min", *type);
  parameter.bounds.max = ReadBound(fields, "max", *type);
  if (parameter.bounds.min.has_value() && parameter.bounds.max.has_value() &&
      *parameter.bounds.min > *parameter.bounds.max) {
    fields.Add("min", "is greater than max");
  }
  ReadValues(fields, parameter.bounds);
  ReadDefault(fields, parameter);
  parameter.description = fields.OptionalText("description");
  fields.Finish();
  return parameter;
}

void ReadParameters(const json& object,
                    ServiceTemplate& result,
                    ProblemList& problems) {
  if (object.size() > TemplateParser::kMaxParameters) {
    problems.Add("parameters",
                 "has more than " +
                     std::to_string(TemplateParser::kMaxParameters) +
                     " parameters");
    return;
  }
  for (const auto& [name, value] : object.items()) {
    std::optional<ParameterDeclaration> parameter =
        ReadParameter(name, value, problems);
    if (parameter.has_value()) {
      result.parameters.emplace(name, std::move(*parameter));
    }
  }
}

std::vector<std::string> NamesOf(const json* object) {
  std::vector<std::string> names;
  if (object != nullptr) {
    for (const auto& [name, value] : object->items()) {
      names.push_back(name);
    }
  }
  return names;
}

// A parameter whose range reaches beyond the setting's would let a service be
// declared that the setting then refuses.
void CheckReference(const SettingCatalogue::Setting& setting,
                    const ParameterDeclaration& parameter,
                    DeclarationFields& fields) {
  if (parameter.bounds.type != setting.bounds.type) {
    fields.Add("parameter", "is of type " +
                                SettingText::Write(parameter.bounds.type) +
                                ", the setting of type " +
                                SettingText::Write(setting.bounds.type));
    return;
  }
  const auto check = [&](const std::optional<std::int64_t>& number) {
    if (number.has_value()) {
      const std::optional<std::string> problem =
          setting.bounds.FindProblem(*number);
      if (problem.has_value()) {
        fields.Add("parameter", "its range " + *problem + " of the setting");
      }
    }
  };
  check(parameter.bounds.min);
  check(parameter.bounds.max);
  if (parameter.default_value.has_value()) {
    const std::optional<std::string> problem =
        setting.bounds.FindProblem(*parameter.default_value);
    if (problem.has_value()) {
      fields.Add("parameter", "its default " + *problem);
    }
  }
}

class SettingsReader {
 public:
  SettingsReader(ServiceTemplate& result,
                 std::vector<std::string> parameter_names,
                 ProblemList& problems)
      : m_result(result),
        m_parameter_names(std::move(parameter_names)),
        m_problems(problems) {}

  void Read(const json& object) {
    for (const auto& [name, value] : object.items()) {
      if (m_problems.IsFull()) {
        return;
      }
      const SettingCatalogue::Setting* setting = SettingCatalogue::Find(name);
      if (setting == nullptr) {
        m_problems.Add("settings." + name, "is unknown",
                       NearestName::Find(name, SettingCatalogue::Names()));
        MarkUsed(value);
      } else if (value.is_object()) {
        ReadReference(*setting, value);
      } else {
        ReadLiteral(*setting, value);
      }
    }
  }

  void CheckAllUsed() {
    for (const std::string& name : m_parameter_names) {
      if (!m_used.contains(name)) {
        m_problems.Add("parameters." + name, "is used by no setting");
      }
    }
  }

 private:
  void ReadLiteral(const SettingCatalogue::Setting& setting,
                   const json& value) {
    const std::string path = "settings." + setting.name;
    std::optional<SettingValue> read =
        SettingText::Read(value, setting.bounds.type);
    if (!read.has_value()) {
      m_problems.Add(path, "is not " +
                               SettingText::Describe(setting.bounds.type) +
                               " or {parameter: NAME}");
      return;
    }
    const std::optional<std::string> problem =
        setting.bounds.FindProblem(*read);
    if (problem.has_value()) {
      m_problems.Add(path, *problem);
    }
    m_result.settings.emplace(setting.name, std::move(*read));
  }

  void ReadReference(const SettingCatalogue::Setting& setting,
                     const json& value) {
    DeclarationFields fields(value, "settings." + setting.name, m_problems);
    const json* text = fields.Find("parameter");
    fields.Finish();
    if (text == nullptr || !text->is_string()) {
      fields.Add("parameter", "has to name a parameter");
      return;
    }
    const auto name = text->get<std::string>();
    m_used.insert(name);
    const bool listed =
        std::find(m_parameter_names.begin(), m_parameter_names.end(), name) !=
        m_parameter_names.end();
    if (!listed) {
      fields.Add("parameter", "names no parameter of this template",
                 NearestName::Find(name, m_parameter_names));
      return;
    }
    // One with mistakes of its own is not in the result.
    const auto parameter = m_result.parameters.find(name);
    if (parameter != m_result.parameters.end()) {
      CheckReference(setting, parameter->second, fields);
      m_result.settings.emplace(setting.name,
                                ServiceTemplate::ParameterReference{name});
    }
  }

  // So that a misspelled setting is one mistake and not two.
  void MarkUsed(const json& value) {
    const bool is_reference = value.is_object() &&
                              value.contains("parameter") &&
                              value["parameter"].is_string();
    if (is_reference) {
      m_used.insert(value["parameter"].get<std::string>());
    }
  }

  ServiceTemplate& m_result;
  std::vector<std::string> m_parameter_names;
  ProblemList& m_problems;
  std::set<std::string> m_used;
};

}  // namespace

ServiceTemplate TemplateParser::Parse(const json& declaration,
                                      ProblemList& problems) {
  ServiceTemplate result;
  DeclarationFields fields(declaration, "", problems);
  if (!declaration.is_object()) {
    return result;
  }
  fields.RequireText("kind", "template");
  result.name = TemplateName(fields.RequiredName("name"));
  result.description = fields.OptionalText("description");
  const json* parameters = fields.Object("parameters");
  const json* settings = fields.Object("settings");
  fields.Finish();
  if (parameters != nullptr) {
    ReadParameters(*parameters, result, problems);
  }
  SettingsReader reader(result, NamesOf(parameters), problems);
  if (settings == nullptr) {
    fields.Add("settings", "is missing");
    return result;
  }
  reader.Read(*settings);
  reader.CheckAllUsed();
  return result;
}

}  // namespace citrongrade
