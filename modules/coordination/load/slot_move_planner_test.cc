#include "modules/coordination/load/slot_move_planner.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

namespace {

MemberId Member(std::size_t index) {
  return {NodeId("node-" + std::to_string(index)), Incarnation(1)};
}

// Member 0 plans; the others have a load of 6 of 12 each.
class Fixture {
 public:
  explicit Fixture(const SlotMovePlanner::Parameters& parameters = {})
      : m_planner(m_clock, m_random, parameters) {}

  // Own slots of equal load that make up `own_load`.
  RebalancingPlan Plan(double own_load, std::size_t slots = 60) {
    std::vector<SlotLoad> own;
    for (std::size_t index = 0; index < slots; ++index) {
      own.push_back({SlotIndex(static_cast<std::uint32_t>(index)),
                     own_load / static_cast<double>(slots),
                     {}});
    }
    return Plan(own);
  }

  RebalancingPlan Plan(const std::vector<SlotLoad>& own) {
    std::vector<MemberLoad> members;
    double own_load = 0;
    for (const SlotLoad& slot : own) {
      own_load += slot.load;
    }
    members.push_back({Member(0), own_load, 12});
    for (std::size_t index = 1; index < 7; ++index) {
      members.push_back({Member(index), 6, 12});
    }
    m_clock.Advance(std::chrono::seconds(10));
    return m_planner.Plan(Member(0), own, members);
  }

 private:
  ManualClock m_clock;
  std::mt19937_64 m_random{1};
  SlotMovePlanner m_planner;
};

}  // namespace

// Load goes up and down by a few per cent, as it does everywhere. Evened out
// each time, slots would go round in circles, each move a gap for its keys.
TEST_CASE("loads within the band move nothing, nor does one odd round") {
  Fixture fixture;
  for (int round = 0; round < 100; ++round) {
    CHECK(fixture.Plan(round % 2 == 0 ? 6.5 : 5.5).empty());
  }
  CHECK(fixture.Plan(9).empty());
  CHECK(fixture.Plan(6).empty());
  CHECK(fixture.Plan(9).empty());
}

TEST_CASE("a lasting overload is moved to others, as far as the band") {
  Fixture fixture;
  fixture.Plan(9);
  const RebalancingPlan plan = fixture.Plan(9);
  CHECK(plan.moves.size() >= 10);
  CHECK(plan.moves.size() <= 18);
  for (const SlotMove& move : plan.moves) {
    CHECK(move.to != Member(0));
  }
}

TEST_CASE("moves keep to their budget") {
  SlotMovePlanner::Parameters parameters;
  parameters.moves_per_minute = 6;
  Fixture fixture(parameters);
  std::size_t moves = 0;
  for (int round = 0; round < 12; ++round) {
    moves += fixture.Plan(11).moves.size();
  }
  CHECK(moves >= 12);
  CHECK(moves <= 6 + 12);
}

TEST_CASE("who weighs churn more moves less") {
  SlotMovePlanner::Parameters institute;
  institute.churn_weight = 8;
  SlotMovePlanner::Parameters port;
  port.unavailability_weight = 4;
  Fixture by_institute(institute);
  Fixture by_port(port);
  by_institute.Plan(8);
  by_port.Plan(8);
  CHECK(by_institute.Plan(8).moves.size() < by_port.Plan(8).moves.size());
}

// Half of a member's load is one key. With its slot, all its neighbours would
// be moved for nothing; the key alone goes to a slot of its own.
TEST_CASE("a hot key leaves its slot, and its neighbours stay") {
  Fixture fixture;
  std::vector<SlotLoad> own(60, SlotLoad{SlotIndex(0), 0.1, {}});
  for (std::size_t index = 0; index < own.size(); ++index) {
    own[index].slot = SlotIndex(static_cast<std::uint32_t>(index));
  }
  own[5].load = 3.5;
  own[5].hottest_key = KeyLoad{KeyHash(99), 3};
  fixture.Plan(own);
  const RebalancingPlan plan = fixture.Plan(own);
  CHECK(plan.moves.empty());
  REQUIRE(plan.isolations.size() == 1);
  CHECK(plan.isolations[0].key == KeyHash(99));
  CHECK(plan.isolations[0].from == SlotIndex(5));
  CHECK(plan.isolations[0].to != Member(0));
}

// One slot is all of a member's overload, and more than any other could take.
// Moved, it would overload the receiver, and come back.
TEST_CASE("a slot that would only move the overload stays") {
  Fixture fixture;
  std::vector<SlotLoad> own = {{SlotIndex(0), 10, {}}};
  fixture.Plan(own);
  CHECK(fixture.Plan(own).empty());
}

}  // namespace citrongrade
