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

// Member 0 plans; each of the six others has a load of 6 and a capacity of 12.
class Fixture {
 public:
  explicit Fixture(const SlotMovePlanner::Parameters& parameters = {})
      : m_planner(m_clock, m_random, parameters) {}

  // Plans with own slots of equal load that add up to `own_load`.
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

// Load varies by a few per cent all the time. A planner that reacted to each
// variation would move slots back and forth, and each move makes its keys
// unavailable for a moment.
TEST_CASE("load within the thresholds or a single round above moves nothing") {
  Fixture fixture;
  for (int round = 0; round < 100; ++round) {
    CHECK(fixture.Plan(round % 2 == 0 ? 6.5 : 5.5).empty());
  }
  CHECK(fixture.Plan(9).empty());
  CHECK(fixture.Plan(6).empty());
  CHECK(fixture.Plan(9).empty());
}

TEST_CASE("sustained overload moves slots until within the thresholds") {
  Fixture fixture;
  fixture.Plan(9);
  const RebalancingPlan plan = fixture.Plan(9);
  CHECK(plan.moves.size() >= 10);
  CHECK(plan.moves.size() <= 18);
  for (const SlotMove& move : plan.moves) {
    CHECK(move.to != Member(0));
  }
}

TEST_CASE("moves stay within their budget") {
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

TEST_CASE("a higher churn weight leads to fewer moves") {
  SlotMovePlanner::Parameters high_churn_weight;
  high_churn_weight.churn_weight = 8;
  SlotMovePlanner::Parameters high_unavailability_weight;
  high_unavailability_weight.unavailability_weight = 4;
  Fixture averse_to_moves(high_churn_weight);
  Fixture averse_to_overload(high_unavailability_weight);
  averse_to_moves.Plan(8);
  averse_to_overload.Plan(8);
  CHECK(averse_to_moves.Plan(8).moves.size() <
        averse_to_overload.Plan(8).moves.size());
}

// One key causes half of a member's load. Moving its whole slot would move all
// the other keys to no use, so only the hot key moves, to a slot of its own.
TEST_CASE("a hot key is isolated and the other keys of its slot stay") {
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

// One slot causes all of a member's overload and is more than any other member
// could take. A move would overload the receiver, which would move the slot
// back.
TEST_CASE("a slot whose move would only shift the overload stays") {
  Fixture fixture;
  std::vector<SlotLoad> own = {{SlotIndex(0), 10, {}}};
  fixture.Plan(own);
  CHECK(fixture.Plan(own).empty());
}

}  // namespace citrongrade
