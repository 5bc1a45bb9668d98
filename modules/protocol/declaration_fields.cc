#include "modules/protocol/declaration_fields.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "modules/protocol/declaration_name.h"
#include "modules/protocol/nearest_name.h"
#include "modules/protocol/problem_list.h"
#include "modules/protocol/setting_text.h"

namespace citrongrade {

using nlohmann::json;

DeclarationFields::DeclarationFields(const json& object,
                                     std::string path,
                                     ProblemList& problems)
    : m_object(object), m_path(std::move(path)), m_problems(problems) {
  if (!object.is_object()) {
    m_problems.Add(m_path, "has to be fields with values");
  }
}

bool DeclarationFields::Has(std::string_view name) const {
  return m_object.is_object() && m_object.find(name) != m_object.end();
}

const json* DeclarationFields::Find(std::string_view name) {
  m_known.emplace_back(name);
  return Has(name) ? &*m_object.find(name) : nullptr;
}

std::string DeclarationFields::RequiredName(std::string_view name) {
  const json* value = Find(name);
  if (value == nullptr) {
    Add(name, "is missing");
    return {};
  }
  const bool valid =
      value->is_string() &&
      DeclarationName::IsValid(value->get_ref<const std::string&>());
  if (!valid) {
    Add(name, "is not a name: " + DeclarationName::Describe());
    return {};
  }
  return value->get<std::string>();
}

void DeclarationFields::RequireText(std::string_view name,
                                    std::string_view expected) {
  const json* value = Find(name);
  if (value == nullptr) {
    Add(name, "is missing");
  } else if (!value->is_string() ||
             value->get_ref<const std::string&>() != expected) {
    Add(name, "has to be " + std::string(expected));
  }
}

std::optional<SettingValue> DeclarationFields::Value(std::string_view name,
                                                     SettingType type) {
  const json* value = Find(name);
  if (value == nullptr) {
    return std::nullopt;
  }
  std::optional<SettingValue> read = SettingText::Read(*value, type);
  if (!read.has_value()) {
    Add(name, "is not " + SettingText::Describe(type));
  }
  return read;
}

std::string DeclarationFields::OptionalText(std::string_view name) {
  const std::optional<SettingValue> text = Value(name, SettingType::kText);
  return text.has_value() ? std::get<std::string>(*text) : std::string();
}

const json* DeclarationFields::Object(std::string_view name) {
  const json* value = Find(name);
  if (value != nullptr && !value->is_object()) {
    Add(name, "has to be fields with values");
    return nullptr;
  }
  return value;
}

void DeclarationFields::Finish() {
  if (!m_object.is_object()) {
    return;
  }
  for (const auto& [name, value] : m_object.items()) {
    if (m_problems.IsFull()) {
      return;
    }
    const bool known =
        std::find(m_known.begin(), m_known.end(), name) != m_known.end();
    if (!known) {
      Add(name, "is unknown", NearestName::Find(name, m_known));
    }
  }
}

std::string DeclarationFields::PathOf(std::string_view name) const {
  return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

void DeclarationFields::Add(std::string_view name,
                            std::string reason,
                            std::string nearest) {
  m_problems.Add(PathOf(name), std::move(reason), std::move(nearest));
}

}  // namespace citrongrade
