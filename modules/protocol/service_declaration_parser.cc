#include "modules/protocol/service_declaration_parser.h"

#include <nlohmann/json.hpp>

#include "modules/protocol/declaration_fields.h"
#include "modules/protocol/problem_list.h"

namespace citrongrade {

using nlohmann::json;

ServiceDeclaration ServiceDeclarationParser::Parse(const json& declaration,
                                                   ProblemList& problems) {
  ServiceDeclaration result;
  DeclarationFields fields(declaration, "", problems);
  if (!declaration.is_object()) {
    return result;
  }
  fields.RequireText("kind", "service");
  result.id.workspace = WorkspaceName(fields.RequiredName("workspace"));
  result.id.service = ServiceName(fields.RequiredName("name"));
  result.template_name = TemplateName(fields.RequiredName("template"));
  const json* parameters = fields.Object("parameters");
  if (parameters != nullptr) {
    result.parameters = *parameters;
  }
  fields.Finish();
  return result;
}

}  // namespace citrongrade
