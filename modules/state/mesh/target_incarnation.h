#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace citrongrade {

// One life of one target's process. A target may start again under its old id;
// it then holds no keys and remembers nothing, so the start time belongs to its
// identity.
struct TargetIncarnation {
  std::string id;
  // Milliseconds since the Unix epoch, as the target itself states it.
  std::int64_t started_unix_ms = 0;

  bool is_known() const { return !id.empty(); }

  friend auto operator<=>(const TargetIncarnation&,
                          const TargetIncarnation&) = default;
};

}  // namespace citrongrade
