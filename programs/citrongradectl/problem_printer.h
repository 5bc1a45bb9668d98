#pragma once

#include <vector>

#include "modules/protocol/declaration_problem.h"

namespace citrongrade {

class CommandContext;

// Prints what is wrong with declarations, one line each.
class ProblemPrinter {
 public:
  static void Print(CommandContext& context,
                    const std::vector<DeclarationProblem>& problems);
};

}  // namespace citrongrade
