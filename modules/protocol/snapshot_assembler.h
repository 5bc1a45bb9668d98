#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "modules/state/records/snapshot_record.h"

namespace citrongrade {

// Joins the chunks of snapshots as they are read from the log, in any order
// and with several snapshots mixed, since two nodes may write one at once.
// Remembers the latest kMaxOpen unfinished ones only. Not thread-safe.
class SnapshotAssembler {
 public:
  static constexpr std::size_t kMaxOpen = 4;

  // The payload, once the last missing chunk has come and the hash agrees. A
  // chunk that contradicts an earlier one drops that snapshot.
  std::optional<std::string> Add(const SnapshotRecord& record);

 private:
  struct Open {
    SnapshotRecord head;
    std::vector<std::optional<std::string>> chunks;
    std::size_t missing = 0;
  };

  Open& FindOrOpen(const SnapshotRecord& record);
  void Drop(const RecordId& snapshot);

  std::deque<Open> m_open;
};

}  // namespace citrongrade
