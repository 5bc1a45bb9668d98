#pragma once

#include <functional>
#include <memory>
#include <thread>
#include <utility>

#include "modules/coordination/log_writer.h"
#include "modules/state/log_entry.h"
#include "modules/transport/bounded_ring.h"

namespace citrongrade {

class PlatformLog;

// Appends the coordinator's records on a thread of its own, since the log may
// be slow. Kin: LogReaderThread.
class LogWriterThread final : public LogWriter {
 public:
  // Called on the writer's thread: the append surely takes no effect.
  using FailureCallback = std::function<void(const RecordId&)>;

  LogWriterThread(std::unique_ptr<PlatformLog> log, FailureCallback on_failure);
  ~LogWriterThread() override;
  LogWriterThread(const LogWriterThread&) = delete;
  LogWriterThread& operator=(const LogWriterThread&) = delete;

  // A full ring counts as a definite failure.
  void Append(const RecordId& id, const Record& record) override;

 private:
  using Item = std::pair<RecordId, Record>;

  void Main();

  std::unique_ptr<PlatformLog> m_log;
  FailureCallback m_on_failure;
  BoundedRing<Item> m_ring;
  std::thread m_thread;
};

}  // namespace citrongrade
