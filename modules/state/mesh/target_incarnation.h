#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace citrongrade {

// One process of a target. A target may restart under the same id; the new
// process owns no keys and remembers nothing, so the start time is part of its
// identity.
struct TargetIncarnation {
  std::string id;
  // Milliseconds since the Unix epoch, as reported by the target.
  std::int64_t started_unix_ms = 0;

  bool is_known() const { return !id.empty(); }

  friend auto operator<=>(const TargetIncarnation&,
                          const TargetIncarnation&) = default;
};

}  // namespace citrongrade
