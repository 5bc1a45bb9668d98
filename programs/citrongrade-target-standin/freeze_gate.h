#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Holds up every thread that passes while the target is frozen; then they go on
// as if nothing had happened, as in a server that was paused. Thread-safe.
class FreezeGate {
 public:
  void Freeze(std::chrono::milliseconds duration) {
    const std::lock_guard lock(m_mutex);
    m_until = std::chrono::steady_clock::now() + duration;
  }

  void Pass() {
    std::unique_lock lock(m_mutex);
    while (std::chrono::steady_clock::now() < m_until && !m_open)
      m_changed.wait_until(lock, m_until);
  }

  // Lets all pass from now on, so that the program can end.
  void Open() {
    const std::lock_guard lock(m_mutex);
    m_open = true;
    m_changed.notify_all();
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::chrono::steady_clock::time_point m_until;
  bool m_open = false;
};

}  // namespace citrongrade
