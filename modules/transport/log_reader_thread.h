#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "modules/state/log_entry.h"

namespace citrongrade {

class PlatformLog;

// Follows the platform's log on a thread of its own and gives what it reads to
// its listener. Kin: LogWriterThread.
class LogReaderThread {
 public:
  // Called on the reader's thread; may block, and then the reader waits.
  class Listener {
   public:
    virtual ~Listener() = default;

    // Whether there is anybody to read for.
    virtual bool IsFollowing() = 0;
    // Where to read on.
    virtual LogOffset NextReadOffset() = 0;
    // Whether NextOffset() of the log has to be given to OnLogEnd first.
    virtual bool WantsLogEnd() = 0;
    virtual void OnLogEnd(LogOffset next_offset) = 0;
    // Empty when a read found nothing new.
    virtual void OnLogEntries(std::vector<LogEntry> entries) = 0;
    virtual void OnLogGap(LogOffset first_kept) = 0;
    virtual void OnLogUnavailable() = 0;
  };

  // The listener outlives it.
  LogReaderThread(std::unique_ptr<PlatformLog> log, Listener& listener);
  ~LogReaderThread();
  LogReaderThread(const LogReaderThread&) = delete;
  LogReaderThread& operator=(const LogReaderThread&) = delete;

 private:
  void Main();
  void ReadOnce(std::chrono::milliseconds wait);

  std::unique_ptr<PlatformLog> m_log;
  Listener& m_listener;
  std::atomic<bool> m_stop = false;
  std::thread m_thread;
};

}  // namespace citrongrade
