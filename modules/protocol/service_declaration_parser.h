#pragma once

#include <nlohmann/json_fwd.hpp>

#include "modules/protocol/service_declaration.h"

namespace citrongrade {

class ProblemList;

// Checks the outer form of a service's declaration and makes it a value. The
// parameters' values are checked against the template by
// DeclarationResolver. Kin: TemplateParser.
class ServiceDeclarationParser {
 public:
  // The result is of use only if no problem was added.
  static ServiceDeclaration Parse(const nlohmann::json& declaration,
                                  ProblemList& problems);
};

}  // namespace citrongrade
