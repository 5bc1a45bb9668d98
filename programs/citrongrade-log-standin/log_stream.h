#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

#include "modules/state/identifiers.h"
#include "programs/citrongrade-log-standin/log_bounds.h"
#include "programs/citrongrade-log-standin/log_page.h"

namespace citrongrade {

// One append-only stream in memory, offsets from 1, the oldest records dropped
// beyond the retention. Thread-safe. Kin: FakePlatformLog, which is typed.
class LogStream {
 public:
  LogOffset Append(std::string record, std::size_t retention_records);

  // At most `max_records` from `from` on; waits up to `wait` for the first.
  // Throws LogRetentionPassedError.
  LogPage Read(LogOffset from,
               std::size_t max_records,
               std::chrono::milliseconds wait);

  LogBounds bounds() const;

  // Drops the oldest records down to that many.
  void Trim(std::size_t retention_records);

  // Wakes all readers and lets none wait any more.
  void Close();

 private:
  LogBounds BoundsLocked() const;
  void TrimLocked(std::size_t retention_records);

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  LogOffset m_first{1};
  std::deque<std::string> m_records;
  bool m_closed = false;
};

}  // namespace citrongrade
