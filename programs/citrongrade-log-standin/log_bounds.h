#pragma once

#include <compare>

#include "modules/state/identifiers.h"

namespace citrongrade {

// First offset kept in a stream, and the offset that the next append gets.
struct LogBounds {
  LogOffset first;
  LogOffset next;

  friend auto operator<=>(const LogBounds&, const LogBounds&) = default;
};

}  // namespace citrongrade
