#include "modules/transport/body_pipe.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

namespace citrongrade {

class BodyPipe::Implementation {
 public:
  explicit Implementation(std::size_t capacity_in) : capacity(capacity_in) {}

  bool HasRoom() const { return held_bytes < capacity; }
  bool IsOver() const { return ended || failed; }

  ReadResult Take(std::size_t max_bytes) {
    if (failed)
      return {ReadState::kFailed, {}};
    if (chunks.empty())
      return {ended ? ReadState::kEnd : ReadState::kWait, {}};
    ReadResult result{ReadState::kBytes, {}};
    if (chunks.front().size() <= max_bytes) {
      result.bytes = std::move(chunks.front());
      chunks.pop_front();
    } else {
      result.bytes = chunks.front().substr(0, max_bytes);
      chunks.front().erase(0, max_bytes);
    }
    held_bytes -= result.bytes.size();
    return result;
  }

  const std::size_t capacity;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::string> chunks;
  std::size_t held_bytes = 0;
  bool ended = false;
  bool failed = false;
  bool reader_closed = false;
  std::function<void()> on_readable = [] {};
  std::function<void()> on_writable = [] {};
};

BodyPipe::BodyPipe(std::size_t capacity)
    : m_implementation(std::make_unique<Implementation>(capacity)) {}

BodyPipe::~BodyPipe() = default;

bool BodyPipe::Write(std::string_view bytes, Clock::TimePoint deadline) {
  Implementation& self = *m_implementation;
  while (!bytes.empty()) {
    {
      std::unique_lock lock(self.mutex);
      const bool ready = self.changed.wait_until(lock, deadline, [&self] {
        return self.reader_closed || self.IsOver() || self.HasRoom();
      });
      if (!ready || self.reader_closed || self.IsOver())
        return false;
      const std::size_t room = self.capacity - self.held_bytes;
      const std::size_t count = std::min(room, bytes.size());
      self.chunks.emplace_back(bytes.substr(0, count));
      self.held_bytes += count;
      bytes.remove_prefix(count);
    }
    self.changed.notify_all();
    self.on_readable();
  }
  return true;
}

bool BodyPipe::TryWrite(std::string bytes) {
  Implementation& self = *m_implementation;
  {
    const std::lock_guard lock(self.mutex);
    if (self.reader_closed || self.IsOver() || bytes.empty())
      return true;
    if (!self.HasRoom())
      return false;
    self.held_bytes += bytes.size();
    self.chunks.push_back(std::move(bytes));
  }
  self.changed.notify_all();
  self.on_readable();
  return true;
}

void BodyPipe::End() {
  Implementation& self = *m_implementation;
  {
    const std::lock_guard lock(self.mutex);
    self.ended = true;
  }
  self.changed.notify_all();
  self.on_readable();
}

void BodyPipe::Fail() {
  Implementation& self = *m_implementation;
  {
    const std::lock_guard lock(self.mutex);
    if (self.ended)
      return;
    self.failed = true;
    self.chunks.clear();
    self.held_bytes = 0;
  }
  self.changed.notify_all();
  self.on_readable();
}

BodyPipe::ReadResult BodyPipe::Read(Clock::TimePoint deadline) {
  Implementation& self = *m_implementation;
  ReadResult result;
  {
    std::unique_lock lock(self.mutex);
    self.changed.wait_until(lock, deadline, [&self] {
      return self.IsOver() || !self.chunks.empty();
    });
    result = self.Take(self.capacity);
  }
  if (result.state == ReadState::kBytes) {
    self.changed.notify_all();
    self.on_writable();
  }
  return result;
}

BodyPipe::ReadResult BodyPipe::TryRead(std::size_t max_bytes) {
  Implementation& self = *m_implementation;
  ReadResult result;
  {
    const std::lock_guard lock(self.mutex);
    result = self.Take(max_bytes);
  }
  if (result.state == ReadState::kBytes) {
    self.changed.notify_all();
    self.on_writable();
  }
  return result;
}

void BodyPipe::CloseReader() {
  Implementation& self = *m_implementation;
  {
    const std::lock_guard lock(self.mutex);
    self.reader_closed = true;
    self.chunks.clear();
    self.held_bytes = 0;
  }
  self.changed.notify_all();
  self.on_writable();
}

bool BodyPipe::reader_closed() const {
  const std::lock_guard lock(m_implementation->mutex);
  return m_implementation->reader_closed;
}

bool BodyPipe::is_finished() const {
  const std::lock_guard lock(m_implementation->mutex);
  return m_implementation->IsOver() && m_implementation->chunks.empty();
}

std::size_t BodyPipe::free_bytes() const {
  const std::lock_guard lock(m_implementation->mutex);
  const Implementation& self = *m_implementation;
  return self.held_bytes >= self.capacity ? 0 : self.capacity - self.held_bytes;
}

void BodyPipe::SetReadableCallback(std::function<void()> callback) {
  m_implementation->on_readable = std::move(callback);
}

void BodyPipe::SetWritableCallback(std::function<void()> callback) {
  m_implementation->on_writable = std::move(callback);
}

}  // namespace citrongrade
