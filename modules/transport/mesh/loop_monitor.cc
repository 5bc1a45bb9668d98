#include "modules/transport/mesh/loop_monitor.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <sstream>

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// A heartbeat answered this late is still within its timeout; one answered
// after twice this time is not.
constexpr milliseconds kWarningDelay{150};
constexpr std::chrono::seconds kLogInterval{1};

constexpr std::array<const char*, LoopMonitor::kActivityCount> kActivityNames =
    {"lead", "answer-heartbeat", "take-view", "record", "config"};

std::size_t IndexOf(LoopMonitor::Activity activity) {
  return static_cast<std::size_t>(activity);
}

auto Milliseconds(Clock::Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

double Seconds(Clock::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

LoopMonitor::ScopedTimer::~ScopedTimer() {
  const Clock::Duration took = m_monitor.m_clock.Now() - m_started;
  Times& times = m_monitor.m_times[IndexOf(m_activity)];
  times.total += took;
  times.since_last_log += took;
  times.longest = std::max(times.longest, took);
}

LoopMonitor::LoopMonitor(const Clock& clock)
    : m_clock(clock), m_last_logged(clock.Now()) {}

void LoopMonitor::OnTimerFired(Clock::Duration delay) {
  m_max_delay = std::max(m_max_delay, delay);
  const Clock::TimePoint now = m_clock.Now();
  if (delay < kWarningDelay || now - m_last_logged < kLogInterval)
    return;
  const auto recent = [this](Activity activity) {
    return Milliseconds(m_times[IndexOf(activity)].since_last_log);
  };
  spdlog::warn(
      "event=loop-late late_ms={} since_ms={} lead_ms={} "
      "answer_heartbeat_ms={} take_view_ms={} record_ms={} config_ms={}",
      Milliseconds(delay), Milliseconds(now - m_last_logged),
      recent(Activity::kPlan), recent(Activity::kAnswerHeartbeat),
      recent(Activity::kApplyView), recent(Activity::kMeshRecord),
      recent(Activity::kConfig));
  m_last_logged = now;
  for (Times& times : m_times)
    times.since_last_log = Clock::Duration(0);
}

Clock::Duration LoopMonitor::TotalTime(Activity activity) const {
  return m_times[IndexOf(activity)].total;
}

Clock::Duration LoopMonitor::LongestTime(Activity activity) const {
  return m_times[IndexOf(activity)].longest;
}

std::string LoopMonitor::ToText() const {
  std::ostringstream out;
  for (std::size_t i = 0; i < kActivityCount; ++i) {
    out << "citrongrade_loop_seconds_total{activity=\"" << kActivityNames[i]
        << "\"} " << Seconds(m_times[i].total) << "\n";
    out << "citrongrade_loop_longest_seconds{activity=\"" << kActivityNames[i]
        << "\"} " << Seconds(m_times[i].longest) << "\n";
  }
  out << "citrongrade_loop_latest_seconds " << Seconds(m_max_delay) << "\n";
  return out.str();
}

}  // namespace citrongrade
