#include "modules/transport/mesh/loop_monitor.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

// A loop that lags can't be explained if a second step of an activity replaces
// the first, or if its time counts for another activity.
TEST_CASE("sums the time of each activity and keeps its longest step") {
  ManualClock clock;
  LoopMonitor monitor(clock);
  for (const milliseconds step : {milliseconds(30), milliseconds(70)}) {
    const LoopMonitor::ScopedTimer timer(monitor, LoopMonitor::Activity::kPlan);
    clock.Advance(step);
  }
  CHECK(monitor.TotalTime(LoopMonitor::Activity::kPlan) == milliseconds(100));
  CHECK(monitor.LongestTime(LoopMonitor::Activity::kPlan) == milliseconds(70));
  CHECK(monitor.TotalTime(LoopMonitor::Activity::kApplyView) ==
        milliseconds(0));
}

// A late timer that is followed by a timely one must stay visible: collectors
// read the metrics long after the delay.
TEST_CASE("the metrics give the longest timer delay and the activity times") {
  ManualClock clock;
  LoopMonitor monitor(clock);
  monitor.OnTimerFired(milliseconds(250));
  monitor.OnTimerFired(milliseconds(20));
  CHECK(monitor.max_delay() == milliseconds(250));
  const std::string text = monitor.ToText();
  CHECK(text.find("citrongrade_loop_latest_seconds 0.25\n") !=
        std::string::npos);
  CHECK(text.find("citrongrade_loop_seconds_total{activity=\"lead\"} 0\n") !=
        std::string::npos);
}

}  // namespace citrongrade
