#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "modules/protocol/declaration_problem.h"

namespace citrongrade {

// Collects what is wrong with one declaration, so that an operator sees all of
// it in one pass. Knows the file's lines, if there is a file.
class ProblemList {
 public:
  // No more are kept, and checks that search for near names stop: a file of
  // unknown names only would keep every node busy otherwise.
  static constexpr std::size_t kMaxProblems = 64;

  // Of a declaration that didn't come from a file.
  ProblemList() = default;
  explicit ProblemList(std::string file) : m_file(std::move(file)) {}

  void SetLine(const std::string& field, int line);

  void Add(const std::string& field,
           std::string reason,
           std::string nearest = {});
  void AddAtLine(int line, std::string reason);

  bool IsFull() const { return m_problems.size() >= kMaxProblems; }
  bool empty() const { return m_problems.empty(); }
  const std::vector<DeclarationProblem>& problems() const { return m_problems; }

  // All problems in one line, for a rejected record.
  std::string Join() const;

 private:
  // Line of the field, or of the nearest part around it that has one.
  int FindLine(std::string field) const;
  void Keep(DeclarationProblem problem);

  std::string m_file;
  std::map<std::string, int> m_line_of_field;
  std::vector<DeclarationProblem> m_problems;
};

}  // namespace citrongrade
