#include "modules/protocol/problem_list.h"

#include <utility>

namespace citrongrade {

void ProblemList::SetLine(const std::string& field, int line) {
  m_line_of_field[field] = line;
}

void ProblemList::Add(const std::string& field,
                      std::string reason,
                      std::string nearest) {
  Keep({m_file, FindLine(field), field, std::move(reason), std::move(nearest)});
}

void ProblemList::AddAtLine(int line, std::string reason) {
  Keep({m_file, line, "", std::move(reason), ""});
}

std::string ProblemList::Join() const {
  std::string text;
  for (const DeclarationProblem& problem : m_problems) {
    if (!text.empty()) {
      text += " | ";
    }
    text += problem.ToString();
  }
  return text;
}

void ProblemList::Keep(DeclarationProblem problem) {
  if (!IsFull()) {
    m_problems.push_back(std::move(problem));
  }
}

int ProblemList::FindLine(std::string field) const {
  while (true) {
    const auto found = m_line_of_field.find(field);
    if (found != m_line_of_field.end()) {
      return found->second;
    }
    if (field.empty()) {
      return 0;
    }
    const std::size_t dot = field.rfind('.');
    field.resize(dot == std::string::npos ? 0 : dot);
  }
}

}  // namespace citrongrade
