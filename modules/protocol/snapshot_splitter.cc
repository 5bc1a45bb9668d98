#include "modules/protocol/snapshot_splitter.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <string>

#include "modules/protocol/record_not_encodable_error.h"
#include "modules/state/size_limits.h"

namespace citrongrade {

namespace {

constexpr std::size_t kChunkBytes = SizeLimits::kMaxSnapshotChunkBytes;

}  // namespace

std::vector<SnapshotRecord> SnapshotSplitter::Split(const RecordId& snapshot,
                                                    LogOffset taken_at,
                                                    std::string_view payload) {
  const std::size_t count = std::max<std::size_t>(
      1, (payload.size() + kChunkBytes - 1) / kChunkBytes);
  if (count > SizeLimits::kMaxSnapshotChunks) {
    throw RecordNotEncodableError("snapshot needs " + std::to_string(count) +
                                  " chunks");
  }
  const std::uint64_t hash = XXH3_64bits(payload.data(), payload.size());
  std::vector<SnapshotRecord> records;
  for (std::size_t index = 0; index < count; ++index) {
    SnapshotRecord record;
    record.snapshot = snapshot;
    record.taken_at = taken_at;
    record.chunk_index = static_cast<std::uint32_t>(index);
    record.chunk_count = static_cast<std::uint32_t>(count);
    record.payload_hash = hash;
    record.payload = payload.substr(index * kChunkBytes, kChunkBytes);
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace citrongrade
