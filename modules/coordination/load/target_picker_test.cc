#include "modules/coordination/load/target_picker.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

#include "modules/coordination/load/load_errors.h"
#include "modules/coordination/manual_clock.h"

namespace citrongrade {

namespace {

TargetId Target(int index) {
  return TargetId("target-" + std::to_string(index));
}

// Three targets with a concurrency of ten; the first is in this node's zone.
class Fixture {
 public:
  Fixture() : m_picker(m_clock, m_random, AvailabilityZone("suape")) {
    m_picker.SetTarget({Target(0), AvailabilityZone("suape"), 10});
    m_picker.SetTarget({Target(1), AvailabilityZone("derby"), 10});
    m_picker.SetTarget({Target(2), AvailabilityZone("derby"), 10});
  }

  // Picks targets for `count` requests that don't end. Returns how many
  // requests each target got.
  std::array<int, 3> Send(int count) {
    std::array<int, 3> sent{};
    for (int i = 0; i < count; ++i) {
      const TargetId picked = *m_picker.Pick();
      m_picker.OnSent(picked);
      ++sent.at(static_cast<std::size_t>(picked.value().back() - '0'));
    }
    return sent;
  }

  TargetPicker& picker() { return m_picker; }
  ManualClock& clock() { return m_clock; }

 private:
  ManualClock m_clock;
  std::mt19937_64 m_random{1};
  TargetPicker m_picker;
};

}  // namespace

TEST_CASE("the own zone is preferred only while it has capacity") {
  Fixture fixture;
  CHECK(fixture.Send(4)[0] == 4);
  const auto sent = fixture.Send(20);
  CHECK(sent[0] <= 6);
  CHECK(sent[1] + sent[2] >= 14);
}

// A target reports no load while its requests pile up. If reports decided, it
// would get all requests.
TEST_CASE("a target that reports no load doesn't attract all requests") {
  Fixture fixture;
  fixture.picker().OnReport(Target(0), 10, std::chrono::milliseconds(0));
  fixture.picker().OnReport(Target(1), 0, std::chrono::milliseconds(0));
  fixture.picker().OnReport(Target(2), 10, std::chrono::milliseconds(0));
  const auto sent = fixture.Send(30);
  CHECK(sent[1] <= 14);
}

TEST_CASE("reported load moves requests out of a full zone until it decays") {
  Fixture fixture;
  fixture.picker().OnReport(Target(0), 10, std::chrono::milliseconds(0));
  CHECK(fixture.Send(1)[0] == 0);
  fixture.clock().Advance(std::chrono::seconds(10));
  CHECK(fixture.Send(1)[0] == 1);
}

// Many nodes send to three targets, one of them behind an overloaded link. Each
// node has hardly any requests outstanding there, so by outstanding requests
// alone it got as many as the others.
TEST_CASE("a slow target gets fewer requests until its slowness decays") {
  Fixture fixture;
  const auto send_and_end = [&fixture] {
    std::array<int, 3> sent{};
    for (int i = 0; i < 300; ++i) {
      const TargetId picked = *fixture.picker().Pick();
      fixture.picker().OnSent(picked);
      fixture.picker().OnFinished(picked);
      ++sent.at(static_cast<std::size_t>(picked.value().back() - '0'));
    }
    return sent;
  };
  CHECK(send_and_end()[0] == 300);
  for (int i = 0; i < 3; ++i)
    fixture.picker().OnSlowness(Target(0), 9);
  CHECK(send_and_end()[0] < 60);
  fixture.clock().Advance(4 * TargetPicker::kSlownessHalfLife);
  CHECK(send_and_end()[0] == 300);
}

TEST_CASE("one slow answer doesn't move requests out of the zone") {
  Fixture fixture;
  fixture.picker().OnSlowness(Target(0), 4);
  CHECK(fixture.Send(1)[0] == 1);
}

// The target in the own zone is the slowest of three but within the target
// latency. Its requests used to go to other zones nevertheless, 9 kB each, for
// answers that were of no more use to their callers.
TEST_CASE("a slower target of the own zone is kept while it is on time") {
  Fixture fixture;
  const auto send_and_end = [&fixture](double latency_ratio) {
    int own = 0;
    for (int i = 0; i < 300; ++i) {
      const TargetId picked = *fixture.picker().Pick();
      fixture.picker().OnSent(picked);
      fixture.picker().OnFinished(picked);
      const bool is_own = picked == Target(0);
      own += is_own ? 1 : 0;
      fixture.picker().OnSlowness(picked, is_own ? 3 : 0.7);
      fixture.picker().OnTargetLatencyRatio(picked,
                                            is_own ? latency_ratio : 0.2);
    }
    return own;
  };
  CHECK(send_and_end(0.5) == 300);
  // Once it misses the target latency, most of its requests go to targets that
  // meet it.
  CHECK(send_and_end(1.4) < 100);
}

TEST_CASE("a target of the own zone that refuses is avoided for a while") {
  Fixture fixture;
  for (int i = 0; i < 30; ++i)
    fixture.picker().OnTargetLatencyRatio(Target(0), 1.5);
  CHECK(fixture.Send(1)[0] == 0);
  fixture.clock().Advance(4 * TargetPicker::kSlownessHalfLife);
  CHECK(fixture.Send(1)[0] == 1);
}

TEST_CASE("capacity share applies and an update keeps outstanding requests") {
  Fixture fixture;
  fixture.Send(4);
  fixture.picker().SetTarget({Target(0), AvailabilityZone("suape"), 10});
  fixture.picker().SetCapacityShare(Target(1), 0.1);
  const auto sent = fixture.Send(20);
  CHECK(sent[1] <= 2);
  CHECK(sent[0] <= 10);
}

TEST_CASE("excluded and ineligible targets aren't picked") {
  Fixture fixture;
  fixture.picker().SetEligible(Target(1), false);
  for (int i = 0; i < 100; ++i) {
    CHECK(fixture.picker().Pick(Target(0)) == Target(2));
  }
  fixture.picker().RemoveTarget(Target(2));
  CHECK_FALSE(fixture.picker().Pick(Target(0)));
  CHECK_THROWS_AS(fixture.picker().OnSent(Target(2)), UnknownTargetError);
  CHECK_NOTHROW(fixture.picker().OnFinished(Target(2)));
}

}  // namespace citrongrade
