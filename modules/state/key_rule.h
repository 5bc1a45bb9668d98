#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace citrongrade {

// Which part of a request holds its key.
struct KeyRule {
  enum class Source : std::uint8_t {
    // The service is not sharded.
    kNone,
    kHeader,
    // Segment of the path after "/{workspace}/{service}/", counted from 0.
    kPathPart,
    kQueryField,
  };

  Source source = Source::kNone;
  // Name of the header or query field.
  std::string name;
  std::uint32_t path_part = 0;

  friend auto operator<=>(const KeyRule&, const KeyRule&) = default;
};

}  // namespace citrongrade
