#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace citrongrade {

// Finds the known name that a misspelled one was most likely meant to be.
class NearestName {
 public:
  // Empty when none is within a third of the name's length, counted in letters
  // that were changed, added, left out or swapped with their neighbour.
  static std::string Find(std::string_view name,
                          const std::vector<std::string>& known);
};

}  // namespace citrongrade
