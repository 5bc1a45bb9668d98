#pragma once

#include <compare>
#include <string>

namespace citrongrade {

// One header line of a request or an answer on its way between nodes.
struct HeaderField {
  std::string name;
  std::string value;

  friend auto operator<=>(const HeaderField&, const HeaderField&) = default;
};

}  // namespace citrongrade
