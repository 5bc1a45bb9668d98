#include "modules/protocol/declaration_problem.h"

namespace citrongrade {

std::string DeclarationProblem::ToString() const {
  std::string text;
  if (!file.empty()) {
    text += file + ":";
  }
  if (line > 0) {
    text += std::to_string(line) + ":";
  }
  if (!text.empty()) {
    text += " ";
  }
  if (!field.empty()) {
    text += field + ": ";
  }
  text += reason;
  if (!nearest.empty()) {
    text += "; did you mean \"" + nearest + "\"?";
  }
  return text;
}

}  // namespace citrongrade
