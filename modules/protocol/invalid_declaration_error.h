#pragma once

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "modules/protocol/declaration_problem.h"

namespace citrongrade {

// Declarations that can't be put in force, with all that is wrong.
class InvalidDeclarationError : public std::runtime_error {
 public:
  InvalidDeclarationError(const std::string& summary,
                          std::vector<DeclarationProblem> problems)
      : std::runtime_error(summary), m_problems(std::move(problems)) {}

  const std::vector<DeclarationProblem>& problems() const { return m_problems; }

 private:
  std::vector<DeclarationProblem> m_problems;
};

}  // namespace citrongrade
