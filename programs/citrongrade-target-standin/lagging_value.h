#pragma once

#include <cstddef>
#include <deque>
#include <mutex>

#include "modules/coordination/clock.h"

namespace citrongrade {

// A value and its recent past, for reports that lag behind. Thread-safe.
template <typename Value>
class LaggingValue {
 public:
  LaggingValue(const Clock& clock, Value value) : m_clock(clock) {
    m_history.push_back({clock.Now(), value});
  }

  void Set(Value value) {
    const std::lock_guard lock(m_mutex);
    m_history.push_back({m_clock.Now(), value});
    if (m_history.size() > kMaxHistory)
      m_history.pop_front();
  }

  // The value as it was `lag` ago, or the oldest remembered.
  Value Get(Clock::Duration lag) const {
    const std::lock_guard lock(m_mutex);
    const Clock::TimePoint then = m_clock.Now() - lag;
    for (auto entry = m_history.rbegin(); entry != m_history.rend(); ++entry) {
      if (entry->since <= then)
        return entry->value;
    }
    return m_history.front().value;
  }

 private:
  struct Entry {
    Clock::TimePoint since;
    Value value;
  };

  static constexpr std::size_t kMaxHistory = 8192;

  const Clock& m_clock;
  mutable std::mutex m_mutex;
  std::deque<Entry> m_history;
};

}  // namespace citrongrade
