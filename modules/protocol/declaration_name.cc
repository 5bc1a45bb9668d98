#include "modules/protocol/declaration_name.h"

#include <algorithm>

namespace citrongrade {

bool DeclarationName::IsValid(std::string_view name) {
  if (name.empty() || name.size() > kMaxBytes) {
    return false;
  }
  return std::all_of(name.begin(), name.end(), [](char byte) {
    const bool letter = byte >= 'a' && byte <= 'z';
    const bool digit = byte >= '0' && byte <= '9';
    return letter || digit || byte == '-' || byte == '_';
  });
}

std::string DeclarationName::Describe() {
  return "1 to " + std::to_string(kMaxBytes) +
         " of the letters a to z, digits, - and _";
}

}  // namespace citrongrade
