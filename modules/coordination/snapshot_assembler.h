#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "modules/state/identifiers.h"
#include "modules/state/records/snapshot_record.h"

namespace citrongrade {

// Puts the chunks of snapshots together as they are read from the log. Pure.
class SnapshotAssembler {
 public:
  struct Snapshot {
    LogOffset taken_at;
    std::string payload;
  };

  // The whole snapshot when the chunk is its last missing one and the payload
  // matches its hash.
  std::optional<Snapshot> Add(const SnapshotRecord& chunk);

  static std::uint64_t HashOf(const std::string& payload);

 private:
  struct Partial {
    LogOffset taken_at;
    std::uint32_t chunk_count = 0;
    std::uint64_t payload_hash = 0;
    std::map<std::uint32_t, std::string> chunks;
  };

  void ForgetOldest();

  std::map<RecordId, Partial> m_partials;
};

}  // namespace citrongrade
