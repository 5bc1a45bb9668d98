#pragma once

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>

namespace citrongrade {

// Prints a node's dump for people: fields by line, lists of alike objects as
// tables. Knows nothing of the dump's fields, so a new one shows at once.
class JsonPrinter {
 public:
  static void Print(const nlohmann::ordered_json& value, std::ostream& out);
};

}  // namespace citrongrade
