#include "modules/protocol/snapshot_assembler.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "modules/state/size_limits.h"

namespace citrongrade {

namespace {

bool IsSameSnapshot(const SnapshotRecord& left, const SnapshotRecord& right) {
  return left.taken_at == right.taken_at &&
         left.chunk_count == right.chunk_count &&
         left.payload_hash == right.payload_hash;
}

}  // namespace

std::optional<std::string> SnapshotAssembler::Add(
    const SnapshotRecord& record) {
  const bool possible = record.chunk_index < record.chunk_count &&
                        record.chunk_count <= SizeLimits::kMaxSnapshotChunks;
  if (!possible) {
    return std::nullopt;
  }
  Open& open = FindOrOpen(record);
  if (!IsSameSnapshot(open.head, record)) {
    Drop(record.snapshot);
    return std::nullopt;
  }
  std::optional<std::string>& chunk = open.chunks[record.chunk_index];
  if (chunk.has_value()) {
    return std::nullopt;
  }
  chunk = record.payload;
  --open.missing;
  if (open.missing > 0) {
    return std::nullopt;
  }
  std::string payload;
  for (const std::optional<std::string>& part : open.chunks) {
    payload += *part;
  }
  Drop(record.snapshot);
  if (XXH3_64bits(payload.data(), payload.size()) != record.payload_hash) {
    return std::nullopt;
  }
  return payload;
}

SnapshotAssembler::Open& SnapshotAssembler::FindOrOpen(
    const SnapshotRecord& record) {
  const auto found =
      std::find_if(m_open.begin(), m_open.end(), [&record](const Open& open) {
        return open.head.snapshot == record.snapshot;
      });
  if (found != m_open.end()) {
    return *found;
  }
  if (m_open.size() == kMaxOpen) {
    m_open.pop_front();
  }
  Open open;
  open.head = record;
  open.head.payload.clear();
  open.chunks.resize(record.chunk_count);
  open.missing = record.chunk_count;
  return m_open.emplace_back(std::move(open));
}

void SnapshotAssembler::Drop(const RecordId& snapshot) {
  std::erase_if(m_open, [&snapshot](const Open& open) {
    return open.head.snapshot == snapshot;
  });
}

}  // namespace citrongrade
