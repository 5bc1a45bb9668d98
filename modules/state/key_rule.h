#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace citrongrade {

// Where a request carries its key.
struct KeyRule {
  enum class Source : std::uint8_t {
    // The service is not divided by key.
    kNone,
    kHeader,
    // Part of the path after "/{workspace}/{service}/", counted from 0.
    kPathPart,
    kQueryField,
  };

  Source source = Source::kNone;
  // Header or query field.
  std::string name;
  std::uint32_t path_part = 0;

  friend auto operator<=>(const KeyRule&, const KeyRule&) = default;
};

}  // namespace citrongrade
