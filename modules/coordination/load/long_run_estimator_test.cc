#include "modules/coordination/load/long_run_estimator.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 5;

struct Fixture {
  void RunCalls(int count) {
    for (int i = 0; i < count; ++i)
      estimator.OnRun("call", milliseconds(30));
  }

  // One run each 50 ms for 0.2 s of work, with the given factor.
  void RunReports(int count, double factor = 1) {
    for (int i = 0; i < count; ++i) {
      clock.Advance(milliseconds(50));
      estimator.OnRun("report", std::chrono::duration_cast<Clock::Duration>(
                                    milliseconds(200) * factor));
    }
  }

  ManualClock clock;
  LongRunEstimator estimator{clock};
};

}  // namespace

// Guards against leases that are sized by a mean over calls and reports.
TEST_CASE_FIXTURE(Fixture, "the longest route counts, however rare it is") {
  CHECK(estimator.long_run() == Clock::Duration(0));
  RunCalls(7);
  CHECK(estimator.long_run() == milliseconds(30));
  for (int i = 0; i < 100; ++i) {
    RunCalls(20);
    RunReports(1);
  }
  CHECK(estimator.long_run() >= milliseconds(180));
  CHECK(estimator.long_run() <= milliseconds(225));
}

// Guards against runs that outlast their hold while work takes three times as
// long for 0.4 s in every 2 s.
TEST_CASE_FIXTURE(Fixture, "few runs of a target with slow bursts are longer") {
  std::mt19937_64 random(kSeed);
  std::lognormal_distribution<> service_time(std::log(0.2), 0.3);
  int runs = 0;
  int longer = 0;
  for (int i = 0; i < 2400; ++i) {
    clock.Advance(milliseconds(50));
    const double factor = i % 40 < 8 ? 3 : 1;
    const auto run_time = std::chrono::duration_cast<Clock::Duration>(
        std::chrono::duration<double>(service_time(random) * factor));
    if (i > 200) {
      ++runs;
      longer += run_time > estimator.long_run() ? 1 : 0;
    }
    estimator.OnRun("report", run_time);
  }
  CHECK(longer < runs * 0.07);
}

TEST_CASE_FIXTURE(Fixture, "it rises within a second and falls slowly") {
  RunReports(100);
  RunReports(15, 3);
  CHECK(estimator.long_run() > milliseconds(550));
  RunReports(20);
  CHECK(estimator.long_run() > milliseconds(500));
  RunReports(400);
  CHECK(estimator.long_run() < milliseconds(250));
}

TEST_CASE_FIXTURE(Fixture, "a route that is no longer used is forgotten") {
  RunReports(100);
  clock.Advance(std::chrono::minutes(6));
  CHECK(estimator.long_run() == Clock::Duration(0));
}

}  // namespace citrongrade
