#pragma once

#include <compare>
#include <map>
#include <string>
#include <variant>

#include "modules/protocol/parameter_declaration.h"
#include "modules/protocol/setting_value.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

// What a kind of service is: the parameters that it offers, and where each
// setting's value comes from. Made by TemplateParser.
struct ServiceTemplate {
  struct ParameterReference {
    std::string parameter;

    friend auto operator<=>(const ParameterReference&,
                            const ParameterReference&) = default;
  };
  using Source = std::variant<SettingValue, ParameterReference>;

  TemplateName name;
  std::string description;
  std::map<std::string, ParameterDeclaration> parameters;
  // By the setting's name. A setting that is not here keeps its default.
  std::map<std::string, Source> settings;

  friend auto operator<=>(const ServiceTemplate&,
                          const ServiceTemplate&) = default;
};

}  // namespace citrongrade
