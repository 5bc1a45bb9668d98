#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace citrongrade {

class ProblemList;

// Reads a declaration's YAML text as JSON and tells the list the line of each
// field. Refuses what would be read by guess or not at all: a field given
// twice, a second document, tags, and text that is larger, deeper or (by
// aliases) more than a declaration can be.
class YamlReader {
 public:
  static constexpr std::size_t kMaxFileBytes = std::size_t{128} * 1024;
  static constexpr std::size_t kMaxDepth = 8;
  static constexpr std::size_t kMaxValues = 4'096;

  // Of use only if no problem was added.
  static nlohmann::json Read(std::string_view text, ProblemList& problems);
};

}  // namespace citrongrade
