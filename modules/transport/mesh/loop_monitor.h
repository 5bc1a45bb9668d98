#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Measures what delays a node's single event loop. While one step computes, the
// loop answers nothing else: a leader that plans for longer than the other
// nodes' heartbeat timeout is treated as lost.
//
// Create a ScopedTimer around each step whose cost grows with the mesh, and
// call OnTimerFired() whenever a timer with a known expiry has run. When a
// timer is late, the monitor logs where the time went, at most once a second.
// Thread-confined.
class LoopMonitor {
 public:
  enum class Activity : std::size_t {
    // The leader plans which node owns which keys.
    kPlan,
    // The leader processes a heartbeat and encodes the reply.
    kAnswerHeartbeat,
    // A node decodes and applies the leader's reply.
    kApplyView,
    // Encoding and decoding the mesh's stored record.
    kMeshRecord,
    // Applying the configuration, and encoding it for other nodes.
    kConfig,
  };
  static constexpr std::size_t kActivityCount = 5;

  // Adds the time from construction to destruction to an activity.
  class ScopedTimer {
   public:
    ScopedTimer(LoopMonitor& monitor, Activity activity)
        : m_monitor(monitor),
          m_activity(activity),
          m_started(monitor.m_clock.Now()) {}
    ~ScopedTimer();
    ScopedTimer(const ScopedTimer&) = delete;
    ScopedTimer& operator=(const ScopedTimer&) = delete;

   private:
    LoopMonitor& m_monitor;
    const Activity m_activity;
    const Clock::TimePoint m_started;
  };

  explicit LoopMonitor(const Clock& clock);

  // `delay`: time between the timer's expiry and its handler.
  void OnTimerFired(Clock::Duration delay);

  // The longest delay of a timer so far.
  Clock::Duration max_delay() const { return m_max_delay; }
  // Total time of an activity; nested ScopedTimers each count in full.
  Clock::Duration TotalTime(Activity activity) const;
  // The longest single ScopedTimer of an activity.
  Clock::Duration LongestTime(Activity activity) const;

  // Returns the Prometheus text format.
  std::string ToText() const;

 private:
  struct Times {
    Clock::Duration total{0};
    Clock::Duration longest{0};
    Clock::Duration since_last_log{0};
  };

  const Clock& m_clock;
  std::array<Times, kActivityCount> m_times;
  Clock::Duration m_max_delay{0};
  Clock::TimePoint m_last_logged;
};

}  // namespace citrongrade
