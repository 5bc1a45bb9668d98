#pragma once

#include <compare>
#include <cstdint>

namespace citrongrade {

// The receiver of a planned move has the chunk, and for the last one has the
// ids of all chunks safe with its own witnesses.
struct HandOffReply {
  std::uint64_t move = 0;
  std::uint32_t chunk_index = 0;
  // False: the receiver won't take the slots.
  bool accepted = false;

  friend auto operator<=>(const HandOffReply&, const HandOffReply&) = default;
};

}  // namespace citrongrade
