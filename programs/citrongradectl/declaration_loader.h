#pragma once

#include <string>
#include <vector>

#include "modules/protocol/declaration_file.h"

namespace citrongrade {

// Reads files of declarations: those named, and in directories all *.yaml and
// *.yml, in order of name.
class DeclarationLoader {
 public:
  // Throws UnreadableFileError.
  static std::vector<DeclarationFile> Load(
      const std::vector<std::string>& paths);
};

}  // namespace citrongrade
