#pragma once

#include <nlohmann/json_fwd.hpp>

#include "modules/protocol/service_template.h"

namespace citrongrade {

class ProblemList;

// Checks a template and makes it a value. Kin: ServiceDeclarationParser.
class TemplateParser {
 public:
  static constexpr std::size_t kMaxParameters = 64;

  // The result is of use only if no problem was added.
  static ServiceTemplate Parse(const nlohmann::json& declaration,
                               ProblemList& problems);
};

}  // namespace citrongrade
