#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

#include "modules/coordination/clock.h"

namespace citrongrade {

// What holds up a node's one event loop. While one step of it computes, nothing
// else is answered: a leader that plans for longer than the others wait for its
// answer is taken for lost.
//
// How to use it: a Section around each step whose cost grows with the mesh, and
// OnTimer() whenever a timer of known time has run. A loop that is late logs
// where its time went, once a second at most. Thread-confined.
class LoopMonitor {
 public:
  enum class Activity : std::size_t {
    // Planning who owns what, as the leader.
    kPlan,
    // Taking a heartbeat and answering it, as the leader.
    kAnswerHeartbeat,
    // Taking over the leader's news.
    kApplyView,
    // Reading and writing the mesh's stored record.
    kMeshRecord,
    // Taking over the configuration, and telling it to other nodes.
    kConfig,
  };
  static constexpr std::size_t kActivityCount = 5;

  // Counts the time until its end for an activity.
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

  // A timer ran so much later than it was set for.
  void OnTimerFired(Clock::Duration late);

  // The latest that a timer has been.
  Clock::Duration max_delay() const { return m_max_delay; }
  // In all; a Section inside another counts in both.
  Clock::Duration TotalTime(Activity activity) const;
  // The longest single Section.
  Clock::Duration LongestTime(Activity activity) const;

  // In the text format that collectors of metrics read.
  std::string ToText() const;

 private:
  struct Times {
    Clock::Duration total{0};
    Clock::Duration longest{0};
    // Since the last line of the log.
    Clock::Duration since_last_log{0};
  };

  const Clock& m_clock;
  std::array<Times, kActivityCount> m_times;
  Clock::Duration m_max_delay{0};
  Clock::TimePoint m_last_logged;
};

}  // namespace citrongrade
