#include "programs/citrongradectl/problem_printer.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "programs/citrongradectl/command_context.h"

namespace citrongrade {

using nlohmann::ordered_json;

void ProblemPrinter::Print(CommandContext& context,
                           const std::vector<DeclarationProblem>& problems) {
  if (!context.settings().json) {
    for (const DeclarationProblem& problem : problems) {
      context.out() << problem.ToString() << '\n';
    }
    context.out() << problems.size()
                  << (problems.size() == 1 ? " problem" : " problems")
                  << "; nothing was changed\n";
    return;
  }
  ordered_json list = ordered_json::array();
  for (const DeclarationProblem& problem : problems) {
    list.push_back({{"file", problem.file},
                    {"line", problem.line},
                    {"field", problem.field},
                    {"reason", problem.reason},
                    {"nearest", problem.nearest}});
  }
  context.PrintJson({{"valid", false}, {"problems", list}});
}

}  // namespace citrongrade
