#pragma once

#include "modules/protocol/service_declaration.h"
#include "modules/protocol/service_template.h"
#include "modules/state/service_settings.h"

namespace citrongrade {

class ProblemList;

// Fills a service's parameters into its template and checks the result as a
// whole. Versions are left at 0.
class DeclarationResolver {
 public:
  // The result is of use only if no problem was added.
  static ServiceSettings Resolve(const ServiceTemplate& service_template,
                                 const ServiceDeclaration& declaration,
                                 ProblemList& problems);
};

}  // namespace citrongrade
