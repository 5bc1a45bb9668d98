#pragma once

#include <compare>
#include <cstdint>

namespace citrongrade {

// How many more attempts a request may cost, all nodes on its way together.
// Travels with the request: without it three hops with three attempts each make
// twenty-seven of one, just when the mesh can least bear it.
struct RetryAllowance {
  std::uint8_t attempts_left = 2;

  constexpr bool exhausted() const { return attempts_left == 0; }

  // What to send along with the next attempt. Of a spent one: a spent one.
  constexpr RetryAllowance AfterRetry() const {
    return {static_cast<std::uint8_t>(exhausted() ? 0 : attempts_left - 1)};
  }

  friend constexpr auto operator<=>(const RetryAllowance&,
                                    const RetryAllowance&) = default;
};

}  // namespace citrongrade
