#pragma once

#include <compare>
#include <nlohmann/json.hpp>
#include <string>

#include "modules/state/identifiers.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// A workspace's service as declared: a template's name and values for its
// parameters, which only the template can check. Made by
// ServiceDeclarationParser.
struct ServiceDeclaration {
  ServiceId id;
  TemplateName template_name;
  // An object; null when there is none.
  nlohmann::json parameters;

  friend bool operator==(const ServiceDeclaration&,
                         const ServiceDeclaration&) = default;
};

}  // namespace citrongrade
