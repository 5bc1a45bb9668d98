#include "modules/coordination/snapshot_assembler.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstddef>

namespace citrongrade {

namespace {

// Two or three members may write one at the same time; the rest was broken off.
constexpr std::size_t kMaxPartials = 8;

}  // namespace

std::optional<SnapshotAssembler::Snapshot> SnapshotAssembler::Add(
    const SnapshotRecord& chunk) {
  if (chunk.chunk_index >= chunk.chunk_count) {
    return std::nullopt;
  }
  Partial& partial = m_partials[chunk.snapshot];
  partial.taken_at = chunk.taken_at;
  partial.chunk_count = chunk.chunk_count;
  partial.payload_hash = chunk.payload_hash;
  partial.chunks[chunk.chunk_index] = chunk.payload;
  if (partial.chunks.size() < partial.chunk_count) {
    ForgetOldest();
    return std::nullopt;
  }
  Snapshot snapshot{partial.taken_at, {}};
  for (const auto& [index, payload] : partial.chunks) {
    snapshot.payload += payload;
  }
  const bool is_valid = HashOf(snapshot.payload) == partial.payload_hash;
  m_partials.erase(chunk.snapshot);
  if (!is_valid) {
    return std::nullopt;
  }
  return snapshot;
}

std::uint64_t SnapshotAssembler::HashOf(const std::string& payload) {
  return XXH3_64bits(payload.data(), payload.size());
}

void SnapshotAssembler::ForgetOldest() {
  if (m_partials.size() <= kMaxPartials) {
    return;
  }
  const auto oldest =
      std::min_element(m_partials.begin(), m_partials.end(),
                       [](const auto& left, const auto& right) {
                         return left.second.taken_at < right.second.taken_at;
                       });
  m_partials.erase(oldest);
}

}  // namespace citrongrade
