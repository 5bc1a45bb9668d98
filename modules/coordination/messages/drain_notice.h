#pragma once

#include <compare>

namespace citrongrade {

// The sender is leaving: it wants no slots, and its holders replace it as a
// witness. Repeated once a second until it has left.
struct DrainNotice {
  friend auto operator<=>(const DrainNotice&, const DrainNotice&) = default;
};

}  // namespace citrongrade
