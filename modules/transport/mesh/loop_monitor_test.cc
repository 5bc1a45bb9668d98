#include "modules/transport/mesh/loop_monitor.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

TEST_CASE("each activity's time is counted, and its longest step") {
  ManualClock clock;
  LoopMonitor monitor(clock);
  for (const milliseconds step : {milliseconds(30), milliseconds(70)}) {
    const LoopMonitor::Section section(monitor, LoopMonitor::Activity::kLead);
    clock.Advance(step);
  }
  CHECK(monitor.TimeIn(LoopMonitor::Activity::kLead) == milliseconds(100));
  CHECK(monitor.LongestIn(LoopMonitor::Activity::kLead) == milliseconds(70));
  CHECK(monitor.TimeIn(LoopMonitor::Activity::kTakeView) == milliseconds(0));
}

TEST_CASE("the latest timer and the activities stand in the metrics") {
  ManualClock clock;
  LoopMonitor monitor(clock);
  monitor.OnTimer(milliseconds(250));
  monitor.OnTimer(milliseconds(20));
  CHECK(monitor.latest() == milliseconds(250));
  const std::string text = monitor.ToText();
  CHECK(text.find("citrongrade_loop_latest_seconds 0.25\n") !=
        std::string::npos);
  CHECK(text.find("citrongrade_loop_seconds_total{activity=\"lead\"} 0\n") !=
        std::string::npos);
}

}  // namespace citrongrade
