#include "modules/transport/log_reader_thread.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <cstddef>
#include <utility>

#include "modules/coordination/log_errors.h"
#include "modules/coordination/platform_log.h"
#include "modules/transport/thread_name.h"

namespace citrongrade {

namespace {

constexpr std::size_t kMaxEntries = 512;
constexpr std::chrono::milliseconds kLongPoll{1000};
constexpr std::chrono::milliseconds kDelayAfterFailure{100};
constexpr std::chrono::milliseconds kPauseWithoutFollower{20};

}  // namespace

LogReaderThread::LogReaderThread(std::unique_ptr<PlatformLog> log,
                                 Listener& listener)
    : m_log(std::move(log)),
      m_listener(listener),
      m_thread([this] { Main(); }) {}

LogReaderThread::~LogReaderThread() {
  m_stop = true;
  m_thread.join();
}

void LogReaderThread::Main() {
  NameThread("log-reader");
  bool was_available = true;
  while (!m_stop) {
    if (!m_listener.IsFollowing()) {
      std::this_thread::sleep_for(kPauseWithoutFollower);
      continue;
    }
    try {
      // After a failure the first read doesn't wait: it is to tell at once that
      // the log answers again.
      ReadOnce(was_available ? kLongPoll : std::chrono::milliseconds(0));
      if (!was_available)
        spdlog::info("event=log-available");
      was_available = true;
    } catch (const LogRetentionPassedError& error) {
      m_listener.OnLogGap(error.first_kept());
    } catch (const std::exception& error) {
      if (was_available)
        spdlog::warn("event=log-unavailable reason=\"{}\"", error.what());
      was_available = false;
      m_listener.OnLogUnavailable();
      std::this_thread::sleep_for(kDelayAfterFailure);
    }
  }
}

void LogReaderThread::ReadOnce(std::chrono::milliseconds wait) {
  if (m_listener.WantsLogEnd())
    m_listener.OnLogEnd(m_log->NextOffset());
  std::vector<LogEntry> entries =
      m_log->Read(m_listener.NextReadOffset(), kMaxEntries, wait);
  // A read without entries is passed on as well: it shows that the log answers.
  // Else, after an outage in which nobody appended, every node would wait for
  // another's entry before it appends its own, and no lost owner's slots would
  // ever be taken over.
  m_listener.OnLogEntries(std::move(entries));
}

}  // namespace citrongrade
