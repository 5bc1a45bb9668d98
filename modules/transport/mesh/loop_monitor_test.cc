#include "modules/transport/mesh/loop_monitor.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

TEST_CASE("each activity's time is counted, and its longest step") {
  ManualClock clock;
  LoopMonitor monitor(clock);
  for (const milliseconds step : {milliseconds(30), milliseconds(70)}) {
    const LoopMonitor::ScopedTimer section(monitor,
                                           LoopMonitor::Activity::kPlan);
    clock.Advance(step);
  }
  CHECK(monitor.TotalTime(LoopMonitor::Activity::kPlan) == milliseconds(100));
  CHECK(monitor.LongestTime(LoopMonitor::Activity::kPlan) == milliseconds(70));
  CHECK(monitor.TotalTime(LoopMonitor::Activity::kApplyView) ==
        milliseconds(0));
}

TEST_CASE("the latest timer and the activities stand in the metrics") {
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
