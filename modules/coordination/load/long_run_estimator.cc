#include "modules/coordination/load/long_run_estimator.h"

#include <algorithm>
#include <chrono>

namespace citrongrade {

namespace {

// The estimate rises by the first share with a run that takes longer, and falls
// by the second with one that doesn't. It is steady if one run in twenty takes
// longer, which makes it the 95th percentile.
constexpr double kRise = 0.095;
constexpr double kFall = 0.005;
// The estimate of a route is the longest of its runs until it has had this
// many.
constexpr unsigned kFirstRuns = 8;
// Routes come from the operators' configuration; beyond this many, further ones
// are not tracked.
constexpr std::size_t kMaxTrackedRoutes = 256;
// A route without runs for this long no longer counts.
constexpr std::chrono::minutes kMaxUnusedTime{5};

Clock::Duration Scale(Clock::Duration duration, double factor) {
  return std::chrono::duration_cast<Clock::Duration>(duration * factor);
}

}  // namespace

LongRunEstimator::LongRunEstimator(const Clock& clock) : m_clock(clock) {}

void LongRunEstimator::RemoveUnusedRoutes() {
  const Clock::TimePoint now = m_clock.Now();
  std::erase_if(m_routes, [now](const auto& entry) {
    return now - entry.second.last_run > kMaxUnusedTime;
  });
}

void LongRunEstimator::OnRun(const std::string& route,
                             Clock::Duration run_time) {
  if (!m_routes.contains(route)) {
    RemoveUnusedRoutes();
    if (m_routes.size() >= kMaxTrackedRoutes)
      return;
  }
  Route& known = m_routes[route];
  known.last_run = m_clock.Now();
  if (known.runs < kFirstRuns) {
    ++known.runs;
    known.percentile = std::max(known.percentile, run_time);
    return;
  }
  const double change = run_time > known.percentile ? kRise : -kFall;
  known.percentile = Scale(known.percentile, 1 + change);
}

Clock::Duration LongRunEstimator::long_run() const {
  const Clock::TimePoint now = m_clock.Now();
  Clock::Duration longest{0};
  for (const auto& [name, route] : m_routes) {
    if (now - route.last_run <= kMaxUnusedTime)
      longest = std::max(longest, route.percentile);
  }
  return longest;
}

}  // namespace citrongrade
