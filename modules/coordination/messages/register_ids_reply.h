#pragma once

#include <compare>
#include <cstdint>

namespace citrongrade {

// A witness's answer to a RegisterIdsRequest.
struct RegisterIdsReply {
  std::uint64_t sequence = 0;
  // False: the witness's memory is full, and it kept nothing of the request.
  bool stored = false;

  friend auto operator<=>(const RegisterIdsReply&,
                          const RegisterIdsReply&) = default;
};

}  // namespace citrongrade
