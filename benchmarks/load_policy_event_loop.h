#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

// Virtual time: runs callbacks in order of their moments, those of one moment
// in the order they were added, so that each run is the same.
class LoadPolicyEventLoop {
 public:
  using Callback = std::function<void()>;

  LoadPolicyEventLoop() : m_start(m_clock.Now()) {}

  const Clock& clock() const { return m_clock; }
  Clock::TimePoint Now() const { return m_clock.Now(); }
  Clock::Duration Elapsed() const { return Now() - m_start; }

  void After(Clock::Duration delay, Callback callback) {
    const Clock::Duration wait = std::max(delay, Clock::Duration(0));
    m_events.push({Now() + wait, m_next++, std::move(callback)});
  }

  void RunUntil(Clock::Duration end) {
    const Clock::TimePoint last = m_start + end;
    while (!m_events.empty() && m_events.top().moment <= last) {
      // Moved out of the queue's const top; it is popped right after.
      Callback callback =
          std::move(const_cast<Event&>(m_events.top()).callback);
      m_clock.Advance(m_events.top().moment - Now());
      m_events.pop();
      callback();
    }
    m_clock.Advance(last - Now());
  }

 private:
  struct Event {
    Clock::TimePoint moment;
    std::uint64_t order = 0;
    Callback callback;

    bool operator<(const Event& other) const {
      return std::pair(other.moment, other.order) < std::pair(moment, order);
    }
  };

  ManualClock m_clock;
  Clock::TimePoint m_start;
  std::priority_queue<Event> m_events;
  std::uint64_t m_next = 0;
};

}  // namespace citrongrade
