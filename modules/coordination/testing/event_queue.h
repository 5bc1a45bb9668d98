#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Virtual time for tests: runs what is scheduled in order of time, and of
// scheduling where times are equal.
class EventQueue {
 public:
  using Action = std::function<void()>;

  Clock::TimePoint Now() const { return m_now; }
  void Schedule(Clock::Duration delay, Action action);
  // Runs everything up to `end`.
  void RunUntil(Clock::TimePoint end);

 private:
  struct Event {
    Clock::TimePoint at;
    std::uint64_t order = 0;
    Action action;
  };
  struct IsLater {
    bool operator()(const Event& left, const Event& right) const {
      return left.at != right.at ? left.at > right.at
                                 : left.order > right.order;
    }
  };

  Clock::TimePoint m_now = Clock::TimePoint(std::chrono::hours(1));
  std::uint64_t m_next_order = 0;
  std::priority_queue<Event, std::vector<Event>, IsLater> m_events;
};

}  // namespace citrongrade
