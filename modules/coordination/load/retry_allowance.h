#pragma once

#include <compare>
#include <cstdint>

namespace citrongrade {

// Number of further attempts that a request may use, on all nodes of its path
// together. It is sent along with the request: without it three hops with three
// attempts each make twenty-seven attempts of one request, just when the mesh
// is least able to serve them.
struct RetryAllowance {
  std::uint8_t attempts_left = 2;

  constexpr bool exhausted() const { return attempts_left == 0; }

  // The allowance to send with the next attempt. An exhausted one stays
  // exhausted.
  constexpr RetryAllowance AfterRetry() const {
    return {static_cast<std::uint8_t>(exhausted() ? 0 : attempts_left - 1)};
  }

  friend constexpr auto operator<=>(const RetryAllowance&,
                                    const RetryAllowance&) = default;
};

}  // namespace citrongrade
