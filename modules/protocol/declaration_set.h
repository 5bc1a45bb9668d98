#pragma once

#include <vector>

#include "modules/protocol/declaration.h"
#include "modules/protocol/declaration_file.h"
#include "modules/state/config_entry.h"

namespace citrongrade {

// Declarations that belong together: checked as a whole, so that either all of
// them are good or none is handed on.
class DeclarationSet {
 public:
  // `in_force` are templates that services may use besides those in the files.
  // Throws InvalidDeclarationError with the problems of all files.
  static DeclarationSet Read(const std::vector<DeclarationFile>& files,
                             const std::vector<ConfigEntry>& in_force);

  // Templates first, then services, each in order of name: the order in which
  // they can be published.
  const std::vector<Declaration>& declarations() const {
    return m_declarations;
  }

 private:
  DeclarationSet() = default;

  std::vector<Declaration> m_declarations;
};

}  // namespace citrongrade
