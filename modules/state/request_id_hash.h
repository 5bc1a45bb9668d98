#pragma once

#include <compare>
#include <cstdint>

namespace citrongrade {

// XXH3-128 of service, key and a caller's Idempotency-Key: what the memory of
// request ids keeps in place of the id.
struct RequestIdHash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const RequestIdHash&, const RequestIdHash&) = default;
};

}  // namespace citrongrade
