#include "modules/coordination/load/target_speed_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// A route is short if its mean run time is below this part of the longest
// route's.
constexpr double kShortRunShare = 0.5;
// A route with a smaller part of the recent work isn't the longest one:
// otherwise a rare upload would make all other requests short.
constexpr double kMinWorkShare = 0.1;
// Time constant of the mean run times: several periods of slow work.
constexpr double kMeanSeconds = 15;
// A mean consists of at least this many runs. Where runs are rare, their random
// variation would otherwise be that of the capacity.
constexpr double kMinRunsOfMean = 20;
// Time constant of the weights.
constexpr double kWeightSeconds = 5;
// The capacity is unknown with fewer runs, or without any for this long.
constexpr unsigned kMinRuns = 20;
constexpr std::chrono::seconds kMaxUnusedTime{30};
// The speed has changed for good if the run times of the last intervals, two
// seconds in all, differ by this factor. Work that is three times as long for
// 0.4 s is not enough for that. The new speed is that of the newest half.
constexpr double kChangeFactor = 1.5;
constexpr milliseconds kInterval{250};
constexpr std::size_t kChangeIntervals = 8;
// Fewer runs may all be long or short by chance.
constexpr unsigned kMinChangeRuns = 20;
// Routes come from the operators' configuration; beyond this many, further ones
// are not tracked.
constexpr std::size_t kMaxTrackedRoutes = 256;

double Seconds(Clock::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void TargetSpeedEstimator::RunTimes::Add(const RunTimes& other) {
  runs += other.runs;
  taken += other.taken;
  expected += other.expected;
}

TargetSpeedEstimator::TargetSpeedEstimator(const Clock& clock)
    : m_clock(clock), m_interval_started(clock.Now()) {}

void TargetSpeedEstimator::OnRun(const std::string& route,
                                 Clock::Duration run_time) {
  const Clock::TimePoint now = m_clock.Now();
  const Clock::Duration length = now - m_interval_started;
  if (length >= kInterval) {
    m_interval_started = now;
    EndInterval(length);
  }
  if (!m_routes.contains(route) && m_routes.size() >= kMaxTrackedRoutes)
    return;
  ++m_run_count;
  m_last_run = now;
  Route& known = m_routes[route];
  const double run_time_s = Seconds(run_time);
  if (known.runs > 0)
    m_interval.Add({1, run_time_s, known.mean()});
  known.taken += run_time_s;
  known.runs += 1;
  known.recent_runs += 1;
}

void TargetSpeedEstimator::EndInterval(Clock::Duration length) {
  FollowLastingChange();
  ForgetOldRuns(1 - std::exp(-Seconds(length) / kMeanSeconds));
  UpdateWeights(1 - std::exp(-Seconds(length) / kWeightSeconds));
}

TargetSpeedEstimator::RunTimes TargetSpeedEstimator::SumSince(
    std::size_t first) const {
  RunTimes sum;
  for (std::size_t i = first; i < m_intervals.size(); ++i)
    sum.Add(m_intervals[i]);
  return sum;
}

void TargetSpeedEstimator::FollowLastingChange() {
  const RunTimes interval = std::exchange(m_interval, {});
  if (interval.expected <= 0)
    return;
  m_intervals.push_back(interval);
  while (m_intervals.size() > kChangeIntervals &&
         SumSince(1).runs >= kMinChangeRuns)
    m_intervals.pop_front();
  const RunTimes all = SumSince(0);
  const bool is_changed =
      all.Factor() > kChangeFactor || all.Factor() < 1 / kChangeFactor;
  if (!is_changed || all.runs < kMinChangeRuns)
    return;
  const double factor = SumSince(m_intervals.size() / 2).Factor();
  m_intervals.clear();
  for (auto& [name, route] : m_routes) {
    const double mean = route.mean() * factor;
    route.runs = std::min(route.runs, kMinRunsOfMean);
    route.taken = mean * route.runs;
  }
}

void TargetSpeedEstimator::ForgetOldRuns(double share) {
  for (auto& [name, route] : m_routes) {
    route.recent_runs *= 1 - share;
    const double runs = std::min(
        route.runs, std::max(route.runs * (1 - share), kMinRunsOfMean));
    route.taken = route.mean() * runs;
    route.runs = runs;
  }
}

double TargetSpeedEstimator::LongestMean() const {
  double work = 0;
  for (const auto& [name, route] : m_routes)
    work += route.recent_runs * route.mean();
  double longest = 0;
  for (const auto& [name, route] : m_routes) {
    if (route.recent_runs * route.mean() >= kMinWorkShare * work)
      longest = std::max(longest, route.mean());
  }
  return longest;
}

void TargetSpeedEstimator::UpdateWeights(double share) {
  const double min_full_mean = LongestMean() * kShortRunShare;
  double full_runs = 0;
  double full_work = 0;
  for (const auto& [name, route] : m_routes) {
    if (route.mean() < min_full_mean)
      continue;
    full_runs += route.recent_runs;
    full_work += route.recent_runs * route.mean();
  }
  if (full_work <= 0)
    return;
  const double full_mean = full_work / full_runs;
  for (auto& [name, route] : m_routes) {
    const double weight =
        route.mean() < min_full_mean ? route.mean() / full_mean : 1;
    route.weight += share * (weight - route.weight);
  }
}

double TargetSpeedEstimator::WeightOf(const std::string& route) const {
  const auto found = m_routes.find(route);
  return found == m_routes.end() ? 1 : found->second.weight;
}

double TargetSpeedEstimator::RecentCount() const {
  double count = 0;
  for (const auto& [name, route] : m_routes)
    count += route.recent_runs * route.weight;
  return count;
}

double TargetSpeedEstimator::MeanWeight() const {
  double runs = 0;
  for (const auto& [name, route] : m_routes)
    runs += route.recent_runs;
  return runs > 0 ? RecentCount() / runs : 1;
}

std::optional<Clock::Duration> TargetSpeedEstimator::TimePerCount() const {
  double work = 0;
  for (const auto& [name, route] : m_routes)
    work += route.recent_runs * route.mean();
  const double count = RecentCount();
  if (work <= 0 || count <= 0)
    return std::nullopt;
  return std::chrono::duration_cast<Clock::Duration>(
      std::chrono::duration<double>(work / count));
}

std::optional<double> TargetSpeedEstimator::Capacity(
    std::size_t concurrency) const {
  const std::optional<Clock::Duration> time = TimePerCount();
  if (!time || *time <= Clock::Duration(0) || m_run_count < kMinRuns ||
      m_clock.Now() - m_last_run > kMaxUnusedTime)
    return std::nullopt;
  return static_cast<double>(concurrency) / Seconds(*time);
}

}  // namespace citrongrade
