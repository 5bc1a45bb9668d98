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

// Targets that announce themselves, and twenty requests a second to each.
class Fixture {
 public:
  explicit Fixture(int targets)
      : m_targets(targets),
        m_ejection(m_clock, m_random, TargetEjection::Parameters{}) {
    Announce();
  }

  // The first `ill` targets end each request as said, the others well.
  void Simulate(int steps,
                int ill,
                TargetCallOutcome outcome,
                milliseconds latency) {
    for (int step = 0; step < steps; ++step) {
      Announce();
      for (int index = 0; index < m_targets; ++index) {
        const bool is_ill = index < ill;
        Request(Target(index), is_ill ? outcome : TargetCallOutcome::kDone,
                is_ill ? latency : milliseconds(20));
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
    int out = 0;
    for (int index = 0; index < m_targets; ++index) {
      out += m_ejection.IsEligible(Target(index)) ? 0 : 1;
    }
    return out;
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

TEST_CASE("one slow target of three goes, one twice as slow stays") {
  Fixture fixture(3);
  fixture.Simulate(40, 1, TargetCallOutcome::kDone, milliseconds(40));
  CHECK(fixture.IneligibleCount() == 0);
  fixture.Simulate(40, 1, TargetCallOutcome::kDone, milliseconds(200));
  CHECK(fixture.ejection().StateOf(Target(0)) == State::kEjected);
  CHECK(fixture.IneligibleCount() == 1);
}

// A store behind all targets slows down: each answers ten times as late, or
// fails. Ejected one by one, the last one would get everything.
TEST_CASE("a mesh-wide slowdown or failure ejects nobody") {
  Fixture fixture(6);
  fixture.Simulate(40, 0, TargetCallOutcome::kDone, milliseconds(20));
  fixture.Simulate(100, 6, TargetCallOutcome::kDone, milliseconds(200));
  CHECK(fixture.IneligibleCount() == 0);
  fixture.Simulate(100, 6, TargetCallOutcome::kUnknown, milliseconds(200));
  CHECK(fixture.IneligibleCount() == 0);
}

TEST_CASE("no more than a third is out, however many are ill") {
  Fixture fixture(6);
  fixture.Simulate(100, 3, TargetCallOutcome::kUnknown, milliseconds(1000));
  CHECK(fixture.IneligibleCount() == 2);
}

// A target takes requests and never answers. Five of them would have to wait
// for their deadlines before five failures are counted.
TEST_CASE("a frozen target goes before any of its requests has timed out") {
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

// A target's node refuses everything at once. It has nothing outstanding, so a
// picker of least work would send it more and more.
TEST_CASE("a target that refuses all work goes, and its probes stay few") {
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

TEST_CASE("three good probes, one at a time, bring a target back") {
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

// A cold target is eight times as slow until its caches are warm. Ejected, it
// would get three probes now and then, and never be warm.
TEST_CASE("a cold target is not ejected for being slow") {
  Fixture fixture(3);
  fixture.ejection().MarkCold(Target(0));
  fixture.Simulate(100, 1, TargetCallOutcome::kDone, milliseconds(160));
  CHECK(fixture.IneligibleCount() == 0);
}

// A target says that it leaves, or says nothing any more. It gets nothing after
// two seconds at most, and a late announcement does not bring it back.
TEST_CASE("a leaving or silent target gets no new work within two seconds") {
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
