#include "modules/transport/mesh/loop_monitor.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <sstream>

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// A heartbeat answered so late is still in time; twice that is not.
constexpr milliseconds kLate{150};
constexpr std::chrono::seconds kLogEvery{1};

constexpr std::array<const char*, LoopMonitor::kActivityCount> kNames = {
    "lead", "answer-heartbeat", "take-view", "record", "config"};

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

LoopMonitor::Section::~Section() {
  const Clock::Duration took = m_monitor.m_clock.Now() - m_began;
  Times& times = m_monitor.m_times[IndexOf(m_activity)];
  times.all += took;
  times.recent += took;
  times.longest = std::max(times.longest, took);
}

LoopMonitor::LoopMonitor(const Clock& clock)
    : m_clock(clock), m_logged(clock.Now()) {}

void LoopMonitor::OnTimer(Clock::Duration late) {
  m_latest = std::max(m_latest, late);
  const Clock::TimePoint now = m_clock.Now();
  if (late < kLate || now - m_logged < kLogEvery)
    return;
  const auto recent = [this](Activity activity) {
    return Milliseconds(m_times[IndexOf(activity)].recent);
  };
  spdlog::warn(
      "event=loop-late late_ms={} since_ms={} lead_ms={} "
      "answer_heartbeat_ms={} take_view_ms={} record_ms={} config_ms={}",
      Milliseconds(late), Milliseconds(now - m_logged), recent(Activity::kLead),
      recent(Activity::kAnswerHeartbeat), recent(Activity::kTakeView),
      recent(Activity::kRecord), recent(Activity::kConfig));
  m_logged = now;
  for (Times& times : m_times)
    times.recent = Clock::Duration(0);
}

Clock::Duration LoopMonitor::TimeIn(Activity activity) const {
  return m_times[IndexOf(activity)].all;
}

Clock::Duration LoopMonitor::LongestIn(Activity activity) const {
  return m_times[IndexOf(activity)].longest;
}

std::string LoopMonitor::ToText() const {
  std::ostringstream out;
  for (std::size_t i = 0; i < kActivityCount; ++i) {
    out << "citrongrade_loop_seconds_total{activity=\"" << kNames[i] << "\"} "
        << Seconds(m_times[i].all) << "\n";
    out << "citrongrade_loop_longest_seconds{activity=\"" << kNames[i] << "\"} "
        << Seconds(m_times[i].longest) << "\n";
  }
  out << "citrongrade_loop_latest_seconds " << Seconds(m_latest) << "\n";
  return out.str();
}

}  // namespace citrongrade
