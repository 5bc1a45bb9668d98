#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "modules/state/identifiers.h"

namespace citrongrade {

// One chunk of the complete state after all records before `taken_at`.
struct SnapshotRecord {
  // Shared by all chunks of one snapshot.
  RecordId snapshot;
  LogOffset taken_at;
  std::uint32_t chunk_index = 0;
  std::uint32_t chunk_count = 0;
  // XXH3 of the complete payload, over all chunks.
  std::uint64_t payload_hash = 0;
  std::string payload;

  friend auto operator<=>(const SnapshotRecord&,
                          const SnapshotRecord&) = default;
};

}  // namespace citrongrade
