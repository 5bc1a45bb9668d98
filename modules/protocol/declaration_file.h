#pragma once

#include <compare>
#include <string>

namespace citrongrade {

// A file of one declaration, as read from version control.
struct DeclarationFile {
  std::string name;
  std::string text;

  friend auto operator<=>(const DeclarationFile&,
                          const DeclarationFile&) = default;
};

}  // namespace citrongrade
