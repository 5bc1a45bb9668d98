#include "modules/coordination/witness_set_planner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "modules/state/accept_all_config.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

namespace {

const AcceptAllConfig kAcceptAll;

MeshState MakeMesh(std::uint64_t nodes, std::uint64_t zones) {
  MeshState state(kAcceptAll);
  for (std::uint64_t i = 1; i <= nodes; ++i) {
    JoinRecord join;
    join.node = NodeId("node-" + std::to_string(i));
    join.availability_zone = AvailabilityZone(std::to_string(i % zones));
    state.Apply({LogOffset(i), RecordId(std::to_string(i)), join});
  }
  return state;
}

MemberId MakeMember(std::uint64_t number) {
  return {NodeId("node-" + std::to_string(number)), Incarnation(number)};
}

bool IsAnybody(const MemberId& /*member*/) {
  return true;
}

}  // namespace

TEST_CASE("five witnesses, at most two of them in one of three zones") {
  const MeshState state = MakeMesh(12, 3);
  for (std::uint64_t holder = 1; holder <= 12; ++holder) {
    const auto plan =
        WitnessSetPlanner::Plan(state, MakeMember(holder), {}, IsAnybody);
    REQUIRE(plan.size() == 5);
    std::map<AvailabilityZone, int> per_zone;
    for (const MemberId& witness : plan) {
      CHECK(witness != MakeMember(holder));
      ++per_zone[state.FindMember(witness)->announcement.availability_zone];
    }
    for (const auto& [zone, count] : per_zone) {
      CHECK(count <= 2);
    }
  }
}

TEST_CASE("a mesh of two zones still has five, and small meshes three or one") {
  CHECK(WitnessSetPlanner::Plan(MakeMesh(8, 2), MakeMember(1), {}, IsAnybody)
            .size() == 5);
  CHECK(WitnessSetPlanner::SizeFor(4) == 3);
  CHECK(WitnessSetPlanner::SizeFor(2) == 1);
  CHECK(WitnessSetPlanner::SizeFor(0) == 0);
}

TEST_CASE("the loss of one witness replaces that one alone") {
  const MeshState state = MakeMesh(12, 3);
  const auto before =
      WitnessSetPlanner::Plan(state, MakeMember(1), {}, IsAnybody);
  const MemberId lost = before[2];
  const auto after = WitnessSetPlanner::Plan(
      state, MakeMember(1), before,
      [&lost](const MemberId& member) { return member != lost; });
  REQUIRE(after.size() == 5);
  const auto kept = std::count_if(
      after.begin(), after.end(), [&before](const MemberId& member) {
        return std::find(before.begin(), before.end(), member) != before.end();
      });
  CHECK(kept == 4);
}

}  // namespace citrongrade
