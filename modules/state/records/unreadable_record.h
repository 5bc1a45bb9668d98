#pragma once

#include <compare>
#include <string>

namespace citrongrade {

// A record that this version can't decode. Every node rejects it in the same
// way.
struct UnreadableRecord {
  std::string reason;

  friend auto operator<=>(const UnreadableRecord&,
                          const UnreadableRecord&) = default;
};

}  // namespace citrongrade
