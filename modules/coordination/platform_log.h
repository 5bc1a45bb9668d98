#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "modules/state/log_entry.h"

namespace citrongrade {

// The platform's append-only log, one stream of it. Blocking: each user gives
// it a thread of its own. Kin: HttpPlatformLog (transport), FakePlatformLog.
class PlatformLog {
 public:
  virtual ~PlatformLog() = default;

  // Appends one record and returns its offset.
  // Throws LogUnavailableError, LogAnswerLostError.
  virtual LogOffset Append(const RecordId& id, const Record& record) = 0;

  // Entries from `from` on, oldest first, at most `max_entries`; waits up to
  // `wait` for the first one and returns none when none came.
  // Throws LogUnavailableError, LogRetentionPassedError.
  virtual std::vector<LogEntry> Read(LogOffset from,
                                     std::size_t max_entries,
                                     std::chrono::milliseconds wait) = 0;

  // First offset still kept. Throws LogUnavailableError.
  virtual LogOffset FirstOffset() = 0;

  // Offset that the next append will get. Throws LogUnavailableError.
  virtual LogOffset NextOffset() = 0;
};

}  // namespace citrongrade
