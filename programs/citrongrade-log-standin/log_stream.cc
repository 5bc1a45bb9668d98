#include "programs/citrongrade-log-standin/log_stream.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <string>
#include <utility>

#include "modules/coordination/log_errors.h"

namespace citrongrade {

namespace {

// A page ends after the record that reaches this, so that a reader that is far
// behind doesn't ask for all the memory at once.
constexpr std::size_t kMaxPageBytes = 8 << 20;

}  // namespace

LogOffset LogStream::Append(std::string record, std::size_t retention_records) {
  const std::lock_guard lock(m_mutex);
  const LogOffset offset = BoundsLocked().next;
  m_records.push_back(std::move(record));
  TrimLocked(retention_records);
  m_changed.notify_all();
  return offset;
}

LogPage LogStream::Read(LogOffset from,
                        std::size_t max_records,
                        std::chrono::milliseconds wait) {
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, wait,
                     [&] { return m_closed || from < BoundsLocked().next; });
  const LogBounds bounds = BoundsLocked();
  if (from < bounds.first)
    throw LogRetentionPassedError("retention passed", bounds.first);
  LogPage page{.bounds = bounds, .from = from, .records = {}};
  std::size_t bytes = 0;
  for (std::size_t index = from.value() - bounds.first.value();
       index < m_records.size() && page.records.size() < max_records &&
       bytes < kMaxPageBytes;
       ++index) {
    page.records.push_back(m_records[index]);
    bytes += m_records[index].size();
  }
  return page;
}

LogBounds LogStream::bounds() const {
  const std::lock_guard lock(m_mutex);
  return BoundsLocked();
}

void LogStream::Trim(std::size_t retention_records) {
  const std::lock_guard lock(m_mutex);
  TrimLocked(retention_records);
}

void LogStream::Close() {
  const std::lock_guard lock(m_mutex);
  m_closed = true;
  m_changed.notify_all();
}

LogBounds LogStream::BoundsLocked() const {
  return {.first = m_first,
          .next = LogOffset(m_first.value() + m_records.size())};
}

void LogStream::TrimLocked(std::size_t retention_records) {
  while (m_records.size() > retention_records) {
    m_records.pop_front();
    m_first = m_first.Next();
  }
}

}  // namespace citrongrade
