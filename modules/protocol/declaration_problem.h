#pragma once

#include <compare>
#include <string>

namespace citrongrade {

// One mistake in a declaration, as an operator is told of it.
struct DeclarationProblem {
  // Empty for a declaration that came from the log.
  std::string file;
  // 0 when it isn't known.
  int line = 0;
  // Dotted path, for example "parameters.slots.min". Empty: the whole.
  std::string field;
  std::string reason;
  // The known name that is nearest to a misspelled one, if any is near.
  std::string nearest;

  // "file:line: field: reason; did you mean "nearest"?"
  std::string ToString() const;

  friend auto operator<=>(const DeclarationProblem&,
                          const DeclarationProblem&) = default;
};

}  // namespace citrongrade
