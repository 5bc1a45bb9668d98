#include "modules/coordination/load/target_ejection.h"

#include <doctest/doctest.h>

#include <string>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;
using State = TargetEjection::State;

TargetId Target(int index) {
  return TargetId("target-" + std::to_string(index));
}

// Targets that announce themselves and get twenty requests per second each.
class Fixture {
 public:
  explicit Fixture(int targets)
      : m_targets(targets),
        m_ejection(m_clock, m_random, TargetEjection::Parameters{}) {
    Announce();
  }

  // The first `outliers` targets end each request with `outcome` and `latency`,
  // the others succeed after 20 ms.
  void Simulate(int steps,
                int outliers,
                TargetCallOutcome outcome,
                milliseconds latency) {
    for (int step = 0; step < steps; ++step) {
      Announce();
      for (int index = 0; index < m_targets; ++index) {
        const bool is_outlier = index < outliers;
        Request(Target(index), is_outlier ? outcome : TargetCallOutcome::kDone,
                is_outlier ? latency : milliseconds(20));
      }
      m_clock.Advance(milliseconds(50));
      m_ejection.Poll();
    }
  }

  void Request(const TargetId& id,
               TargetCallOutcome outcome,
               milliseconds latency) {
    if (m_ejection.IsEligible(id)) {
      m_ejection.OnSent(id);
      m_ejection.OnFinished(id, outcome, latency);
    }
  }

  int IneligibleCount() const {
    int count = 0;
    for (int index = 0; index < m_targets; ++index) {
      count += m_ejection.IsEligible(Target(index)) ? 0 : 1;
    }
    return count;
  }

  void Announce() {
    for (int index = 0; index < m_targets; ++index) {
      m_ejection.OnAnnounced(Target(index), false);
    }
  }

  TargetEjection& ejection() { return m_ejection; }
  ManualClock& clock() { return m_clock; }

 private:
  int m_targets;
  ManualClock m_clock;
  std::mt19937_64 m_random{1};
  TargetEjection m_ejection;
};

}  // namespace

TEST_CASE("a target ten times as slow is ejected, one twice as slow isn't") {
  Fixture fixture(3);
  fixture.Simulate(40, 1, TargetCallOutcome::kDone, milliseconds(40));
  CHECK(fixture.IneligibleCount() == 0);
  fixture.Simulate(40, 1, TargetCallOutcome::kDone, milliseconds(200));
  CHECK(fixture.ejection().StateOf(Target(0)) == State::kEjected);
  CHECK(fixture.IneligibleCount() == 1);
}

// A store behind all targets slows down, so that each target answers ten times
// as late or fails. If they were ejected one by one, the last one would get all
// requests.
TEST_CASE("a mesh-wide slowdown or failure ejects no target") {
  Fixture fixture(6);
  fixture.Simulate(40, 0, TargetCallOutcome::kDone, milliseconds(20));
  fixture.Simulate(100, 6, TargetCallOutcome::kDone, milliseconds(200));
  CHECK(fixture.IneligibleCount() == 0);
  fixture.Simulate(100, 6, TargetCallOutcome::kUnknown, milliseconds(200));
  CHECK(fixture.IneligibleCount() == 0);
}

TEST_CASE("no more than a third of the targets are ejected") {
  Fixture fixture(6);
  fixture.Simulate(100, 3, TargetCallOutcome::kUnknown, milliseconds(1000));
  CHECK(fixture.IneligibleCount() == 2);
}

// A target accepts requests and never answers. Five failures would be counted
// only after five requests have reached their deadlines.
TEST_CASE("a stalled target is ejected before its requests time out") {
  Fixture fixture(3);
  fixture.Simulate(40, 0, TargetCallOutcome::kDone, milliseconds(20));
  for (int i = 0; i < 6; ++i) {
    fixture.ejection().OnSent(Target(0));
  }
  for (int step = 0; step < 30; ++step) {
    fixture.Announce();
    fixture.Request(Target(1), TargetCallOutcome::kDone, milliseconds(20));
    fixture.Request(Target(2), TargetCallOutcome::kDone, milliseconds(20));
    fixture.clock().Advance(milliseconds(50));
    fixture.ejection().Poll();
  }
  CHECK_FALSE(fixture.ejection().IsEligible(Target(0)));
}

// A target refuses all requests at once. It then has nothing outstanding, so a
// picker that prefers the fewest outstanding requests would send it more and
// more.
TEST_CASE("a target that refuses all requests is ejected and rarely probed") {
  Fixture fixture(3);
  fixture.Simulate(40, 1, TargetCallOutcome::kNotRun, milliseconds(1));
  CHECK(fixture.ejection().StateOf(Target(0)) == State::kEjected);
  int sent = 0;
  for (int step = 0; step < 600; ++step) {
    sent += fixture.ejection().IsEligible(Target(0)) ? 1 : 0;
    fixture.Simulate(1, 1, TargetCallOutcome::kNotRun, milliseconds(1));
  }
  CHECK(sent >= 1);
  CHECK(sent <= 12);
}

TEST_CASE("three successful probes, one at a time, reinstate a target") {
  Fixture fixture(3);
  fixture.Simulate(40, 1, TargetCallOutcome::kUnknown, milliseconds(1000));
  REQUIRE(fixture.IneligibleCount() == 1);
  fixture.clock().Advance(std::chrono::seconds(40));
  fixture.Announce();
  fixture.ejection().Poll();
  REQUIRE(fixture.ejection().StateOf(Target(0)) == State::kProbing);
  fixture.ejection().OnSent(Target(0));
  CHECK_FALSE(fixture.ejection().IsEligible(Target(0)));
  fixture.ejection().OnFinished(Target(0), TargetCallOutcome::kDone,
                                milliseconds(20));
  fixture.Request(Target(0), TargetCallOutcome::kDone, milliseconds(20));
  CHECK(fixture.ejection().StateOf(Target(0)) == State::kProbing);
  fixture.Request(Target(0), TargetCallOutcome::kDone, milliseconds(20));
  CHECK(fixture.ejection().StateOf(Target(0)) == State::kServing);
}

// A cold target is eight times as slow until its caches are warm. If it were
// ejected, it would get only three probes now and then and never warm up.
TEST_CASE("a cold target is not ejected for being slow") {
  Fixture fixture(3);
  fixture.ejection().MarkCold(Target(0));
  fixture.Simulate(100, 1, TargetCallOutcome::kDone, milliseconds(160));
  CHECK(fixture.IneligibleCount() == 0);
}

// A target announces that it is leaving, or stops announcing itself. It must
// get no requests after two seconds at most, and a delayed announcement must
// not revert that.
TEST_CASE("a leaving or expired target gets no requests after two seconds") {
  Fixture fixture(3);
  fixture.ejection().OnAnnounced(Target(0), true);
  CHECK_FALSE(fixture.ejection().IsEligible(Target(0)));
  fixture.ejection().OnAnnounced(Target(0), false);
  CHECK(fixture.ejection().StateOf(Target(0)) == State::kLeaving);
  fixture.clock().Advance(milliseconds(1999));
  CHECK(fixture.ejection().IsEligible(Target(1)));
  fixture.clock().Advance(milliseconds(1));
  CHECK(fixture.ejection().StateOf(Target(1)) == State::kExpired);
  CHECK_FALSE(fixture.ejection().IsEligible(Target(1)));
}

}  // namespace citrongrade
