#include "modules/transport/log_reader_thread.h"

#include <doctest/doctest.h>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "modules/coordination/log_errors.h"
#include "modules/coordination/platform_log.h"

namespace citrongrade {

namespace {

constexpr std::chrono::seconds kLongEnough(20);

// Fails the first read, then answers, with nothing new.
class QuietLogAfterOutage final : public PlatformLog {
 public:
  LogOffset Append(const RecordId& /*id*/, const Record& /*record*/) override {
    throw LogUnavailableError("not for this test");
  }
  std::vector<LogEntry> Read(LogOffset /*from*/,
                             std::size_t /*max_entries*/,
                             std::chrono::milliseconds wait) override {
    if (std::exchange(m_is_down, false))
      throw LogUnavailableError("outage");
    std::this_thread::sleep_for(wait);
    return {};
  }
  LogOffset FirstOffset() override { return LogOffset(1); }
  LogOffset NextOffset() override { return LogOffset(1); }

 private:
  bool m_is_down = true;
};

// Notes whether it is told of the outage and of its end.
class OutageListener final : public LogReaderThread::Listener {
 public:
  bool IsFollowing() override { return true; }
  LogOffset NextReadOffset() override { return LogOffset(1); }
  bool WantsLogEnd() override { return false; }
  void OnLogEnd(LogOffset /*next_offset*/) override {}
  void OnLogGap(LogOffset /*first_kept*/) override {}
  void OnLogUnavailable() override {
    const std::lock_guard lock(m_mutex);
    m_was_down = true;
  }
  void OnLogEntries(std::vector<LogEntry> /*entries*/) override {
    const std::lock_guard lock(m_mutex);
    m_is_back = m_was_down;
    m_changed.notify_all();
  }

  bool WaitUntilBack() {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, kLongEnough, [this] { return m_is_back; });
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_was_down = false;
  bool m_is_back = false;
};

}  // namespace

TEST_CASE("the end of an outage is told though nobody appended meanwhile") {
  // An owner is lost while the log is down. When the log is back, every node
  // that could take over waits to hear so before it appends. If only an entry
  // told them, each would wait for another's, and callers of the lost owner's
  // keys would be refused for good.
  OutageListener listener;
  const LogReaderThread reader(std::make_unique<QuietLogAfterOutage>(),
                               listener);
  CHECK(listener.WaitUntilBack());
}

}  // namespace citrongrade
