#pragma once

#include <condition_variable>
#include <mutex>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Tells one request's thread to stop. Thread-safe.
class Cancellation {
 public:
  void Cancel() {
    const std::lock_guard lock(m_mutex);
    m_cancelled = true;
    m_changed.notify_all();
  }

  bool IsCancelled() const {
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
  }

  // Sleeps until `end`, or less: returns true if cancelled.
  bool SleepUntil(Clock::TimePoint end) {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_until(lock, end, [this] { return m_cancelled; });
  }

 private:
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_cancelled = false;
};

}  // namespace citrongrade
