#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <vector>

#include "modules/coordination/messages/handed_id.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// An owner (the sender) gives the receiver of a planned move one chunk of the
// request ids of the slots that are to move.
struct HandOffRequest {
  std::uint64_t move = 0;
  ServiceId service;
  // All slots of the move, equal in each chunk.
  std::vector<SlotIndex> slots;
  std::uint32_t chunk_index = 0;
  std::uint32_t chunk_count = 0;
  std::vector<HandedId> ids;
  // Slots whose ids the sender knows in full; the others come with an unknown
  // history of at most `history_lost_for`.
  std::vector<SlotIndex> ready_slots;
  std::chrono::milliseconds history_lost_for{0};

  friend auto operator<=>(const HandOffRequest&,
                          const HandOffRequest&) = default;
};

}  // namespace citrongrade
