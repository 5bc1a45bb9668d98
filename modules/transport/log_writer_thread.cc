#include "modules/transport/log_writer_thread.h"

#include <spdlog/spdlog.h>

#include <cstddef>
#include <string>

#include "modules/coordination/log_errors.h"
#include "modules/coordination/platform_log.h"
#include "modules/transport/thread_name.h"

namespace citrongrade {

namespace {

constexpr std::size_t kRing = 1024;

}  // namespace

LogWriterThread::LogWriterThread(std::unique_ptr<PlatformLog> log,
                                 FailureCallback on_failure)
    : m_log(std::move(log)),
      m_on_failure(std::move(on_failure)),
      m_ring(kRing),
      m_thread([this] { Main(); }) {}

LogWriterThread::~LogWriterThread() {
  m_ring.Close();
  m_thread.join();
}

void LogWriterThread::Append(const RecordId& id, const Record& record) {
  if (!m_ring.TryPush({id, record}))
    m_on_failure(id);
}

void LogWriterThread::Main() {
  NameThread("log-writer");
  while (const auto item = m_ring.Pop()) {
    try {
      m_log->Append(item->first, item->second);
    } catch (const LogAnswerLostError& error) {
      // It may stand in the log: the coordinator reads on and sees.
      spdlog::warn("event=log-answer-lost record={} reason=\"{}\"",
                   item->first.value(), error.what());
    } catch (const std::exception& error) {
      spdlog::warn("event=log-append-failed record={} reason=\"{}\"",
                   item->first.value(), error.what());
      m_on_failure(item->first);
    }
  }
}

}  // namespace citrongrade
