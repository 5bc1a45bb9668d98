#include "modules/coordination/load/target_speed_estimator.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 3;
constexpr std::size_t kConcurrency = 13;
constexpr double kCallSeconds = 0.03;
constexpr double kReportSeconds = 0.3;
constexpr milliseconds kStep{10};
// Work takes three times as long for 0.4 s in every 2 s.
constexpr milliseconds kBurstPeriod{2000};
constexpr milliseconds kBurstLength{400};
constexpr double kBurstFactor = 3;
constexpr double kMeanBurstFactor = 0.8 + 0.2 * kBurstFactor;

// A target that gets 25 reports and 40 calls a second at random.
class MixedTarget {
 public:
  MixedTarget() { clock.Advance(milliseconds(1)); }

  void Run(milliseconds duration) {
    for (milliseconds t{0}; t < duration; t += kStep) {
      clock.Advance(kStep);
      m_now += kStep;
      Start("report", reports_per_s, kReportSeconds);
      Start("call", calls_per_s, kCallSeconds);
      while (!m_running.empty() && m_running.begin()->first <= clock.Now()) {
        const auto [route, run_time] = m_running.begin()->second;
        m_running.erase(m_running.begin());
        estimator.OnRun(route, run_time);
      }
      if (const auto capacity = estimator.Capacity(kConcurrency)) {
        lowest = std::min(lowest, *capacity);
        highest = std::max(highest, *capacity);
      }
    }
  }

  void ForgetExtremes() {
    lowest = 1e9;
    highest = 0;
  }

  // Reports per second that it can serve.
  double TrueCapacity() const {
    return kConcurrency * speed / kReportSeconds /
           (has_bursts ? kMeanBurstFactor : 1);
  }

  ManualClock clock;
  TargetSpeedEstimator estimator{clock};
  double reports_per_s = 25;
  double calls_per_s = 40;
  double speed = 1;
  bool has_bursts = true;
  double lowest = 1e9;
  double highest = 0;

 private:
  void Start(const std::string& route, double per_s, double seconds) {
    const double step_s = std::chrono::duration<double>(kStep).count();
    const int count = std::poisson_distribution<>(per_s * step_s)(m_random);
    const bool is_slow = has_bursts && m_now % kBurstPeriod < kBurstLength;
    for (int i = 0; i < count; ++i) {
      const double factor = (is_slow ? kBurstFactor : 1) * m_noise(m_random);
      const auto run_time = std::chrono::duration_cast<Clock::Duration>(
          std::chrono::duration<double>(seconds * factor / speed));
      m_running.emplace(clock.Now() + run_time, std::pair(route, run_time));
    }
  }

  // Lognormal with mean 1.
  static constexpr double kSpread = 0.3;
  std::mt19937_64 m_random{kSeed};
  std::lognormal_distribution<> m_noise{-kSpread * kSpread / 2, kSpread};
  milliseconds m_now{0};
  std::multimap<Clock::TimePoint, std::pair<std::string, Clock::Duration>>
      m_running;
};

}  // namespace

// Guards against keys that move each second, all day, because the capacity
// varies by more than the imbalance that triggers moves.
TEST_CASE("bursts of slow work hardly change the capacity") {
  for (const double speed : {0.6, 1.0, 1.6}) {
    MixedTarget target;
    target.speed = speed;
    // Calls count as more than their work until the weights have settled.
    target.Run(milliseconds(30'000));
    target.ForgetExtremes();
    target.Run(milliseconds(60'000));
    CAPTURE(speed);
    CHECK(target.lowest > target.TrueCapacity() * 0.95);
    CHECK(target.highest < target.TrueCapacity() * 1.05);
  }
}

// Guards against a capacity that follows the mix of the last moments.
TEST_CASE("the capacity doesn't depend on the number of calls") {
  MixedTarget target;
  target.Run(milliseconds(30'000));
  target.ForgetExtremes();
  target.calls_per_s = 160;
  target.Run(milliseconds(20'000));
  target.calls_per_s = 10;
  target.Run(milliseconds(20'000));
  CHECK(target.lowest > target.TrueCapacity() * 0.88);
  CHECK(target.highest < target.TrueCapacity() * 1.14);
}

TEST_CASE("a call counts as a tenth of a report, and a report as one") {
  MixedTarget target;
  CHECK(target.estimator.WeightOf("call") == 1);
  target.Run(milliseconds(20'000));
  CHECK(target.estimator.WeightOf("call") == doctest::Approx(0.1).epsilon(0.2));
  CHECK(target.estimator.WeightOf("report") == 1);
  CHECK(target.estimator.WeightOf("unknown") == 1);
  // 25 reports and 40 calls.
  CHECK(target.estimator.MeanWeight() ==
        doctest::Approx(29.0 / 65).epsilon(0.15));
}

// Guards against a rare upload that makes all other requests count as nothing.
TEST_CASE("a rare long request doesn't change the weights") {
  MixedTarget target;
  for (int i = 0; i < 20; ++i) {
    target.Run(milliseconds(2000));
    target.estimator.OnRun("upload", milliseconds(1000));
  }
  CHECK(target.estimator.WeightOf("report") > 0.99);
  CHECK(target.estimator.WeightOf("call") == doctest::Approx(0.1).epsilon(0.2));
}

// Guards against a target that keeps keys it can't serve, and against one that
// gets none back.
TEST_CASE("a target that turns five times slower and back is followed") {
  MixedTarget target;
  target.Run(milliseconds(20'000));
  target.speed = 0.2;
  // Runs that show it take 1.5 s.
  target.Run(milliseconds(3000));
  CHECK(*target.estimator.Capacity(kConcurrency) < target.TrueCapacity() * 1.5);
  target.Run(milliseconds(10'000));
  CHECK(*target.estimator.Capacity(kConcurrency) <
        target.TrueCapacity() * 1.25);
  target.speed = 1;
  // Slow runs take up to 4.5 s more.
  target.Run(milliseconds(5500));
  CHECK(*target.estimator.Capacity(kConcurrency) > target.TrueCapacity() * 0.7);
}

TEST_CASE("work that is three times as long for good counts in 2.5 s") {
  MixedTarget target;
  target.has_bursts = false;
  target.Run(milliseconds(20'000));
  target.speed = 1.0 / 3;
  target.Run(milliseconds(2500));
  CHECK(*target.estimator.Capacity(kConcurrency) ==
        doctest::Approx(target.TrueCapacity()).epsilon(0.25));
}

TEST_CASE("the capacity is unknown without enough runs") {
  MixedTarget target;
  CHECK_FALSE(target.estimator.Capacity(kConcurrency).has_value());
  CHECK_FALSE(target.estimator.TimePerCount().has_value());
  for (int i = 0; i < 10; ++i)
    target.estimator.OnRun("report", milliseconds(300));
  CHECK_FALSE(target.estimator.Capacity(kConcurrency).has_value());
  REQUIRE(target.estimator.TimePerCount().has_value());
  CHECK(std::chrono::round<milliseconds>(*target.estimator.TimePerCount()) ==
        milliseconds(300));
  target.Run(milliseconds(5000));
  CHECK(target.estimator.Capacity(kConcurrency).has_value());
  target.clock.Advance(milliseconds(31'000));
  CHECK_FALSE(target.estimator.Capacity(kConcurrency).has_value());
}

}  // namespace citrongrade
