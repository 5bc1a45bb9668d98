#pragma once

#include <compare>
#include <cstdint>

namespace citrongrade {

// XXH3-128 of service, key and the caller's Idempotency-Key. Stored in place of
// the request id.
struct RequestIdHash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const RequestIdHash&, const RequestIdHash&) = default;
};

}  // namespace citrongrade
