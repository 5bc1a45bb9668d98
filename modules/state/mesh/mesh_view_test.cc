#include "modules/state/mesh/mesh_view.h"

#include <doctest/doctest.h>

namespace citrongrade {

namespace {

MeshMember Member(const std::string& address) {
  MeshMember member;
  member.address = address;
  member.service = "divided";
  member.state = MeshMember::State::kServing;
  return member;
}

OwnedRun Run(std::uint32_t first, std::uint32_t last, std::uint64_t fence) {
  OwnedRun run;
  run.range = {first, last};
  run.owner = "a";
  run.fence = fence;
  return run;
}

}  // namespace

TEST_CASE("a node that follows by deltas knows what the leader knows") {
  MeshView leader;
  leader.BeginEpoch(3);
  leader.SetMember(Member("a"));
  MeshView node;
  REQUIRE(node.Apply(leader.ChangesSince(node.epoch(), node.version())));
  leader.Assign("divided", Run(10, 20, 5));
  const ViewDelta delta = leader.ChangesSince(node.epoch(), node.version());
  CHECK_FALSE(delta.is_whole);
  CHECK(delta.members.empty());
  REQUIRE(delta.runs.size() == 1);
  REQUIRE(node.Apply(delta));
  CHECK(node.FindTable("divided")->Find(15).fence == 5);
  CHECK(leader.ChangesSince(node.epoch(), node.version()).is_empty());
}

TEST_CASE("setting what is known already is no news") {
  MeshView view;
  view.BeginEpoch(1);
  view.SetMember(Member("a"));
  const std::uint64_t version = view.version();
  view.SetMember(Member("a"));
  CHECK(view.version() == version);
}

// A deposed leader still answers: a node that took its word after it has heard
// of the new one would send requests to owners of long ago.
TEST_CASE("an older leader's view and an overtaken delta change nothing") {
  MeshView old_leader;
  old_leader.BeginEpoch(1);
  old_leader.SetMember(Member("old"));
  MeshView new_leader;
  new_leader.BeginEpoch(2);
  MeshView node;
  REQUIRE(node.Apply(new_leader.ChangesSince(0, 0)));
  CHECK_FALSE(node.Apply(old_leader.ChangesSince(0, 0)));
  CHECK(node.FindMember("old") == nullptr);
  const ViewDelta overtaken = new_leader.ChangesSince(2, 1);
  new_leader.SetMember(Member("b"));
  REQUIRE(node.Apply(new_leader.ChangesSince(2, node.version())));
  CHECK_FALSE(node.Apply(overtaken));
}

}  // namespace citrongrade
