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

SlotAssignment MakeAssignment(std::uint32_t first,
                              std::uint32_t last,
                              std::uint64_t fence) {
  SlotAssignment run;
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
  REQUIRE(node.Apply(leader.ChangesSince(node.epoch(), node.version(), "a")));
  leader.Assign("divided", MakeAssignment(10, 20, 5));
  const ViewDelta delta =
      leader.ChangesSince(node.epoch(), node.version(), "a");
  CHECK_FALSE(delta.is_whole);
  CHECK(delta.members.empty());
  REQUIRE(delta.assignments.size() == 1);
  REQUIRE(node.Apply(delta));
  CHECK(node.FindTable("divided")->Find(15).fence == 5);
  CHECK(leader.ChangesSince(node.epoch(), node.version(), "a").is_empty());
}

TEST_CASE("a node gets in full what it owns, and in outline what others own") {
  MeshView leader;
  leader.BeginEpoch(3);
  SlotAssignment run = MakeAssignment(10, 20, 5);
  run.incarnation = {"t", 7};
  run.handover = "token";
  run.next = {"b", {"u", 8}, 6};
  leader.Assign("divided", run);
  const auto held = [&leader](const std::string& reader) {
    MeshView node;
    node.Apply(leader.ChangesSince(0, 0, reader));
    return node.FindTable("divided")->Find(15);
  };
  CHECK(held("a").SameAssignment(run));
  CHECK(held("b").owner == "a");
  CHECK(held("b").fence == 5);
  CHECK_FALSE(held("b").incarnation.is_known());
  CHECK(held("b").handover.empty());
  CHECK_FALSE(held("b").is_moving());
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
  REQUIRE(node.Apply(new_leader.ChangesSince(0, 0, "a")));
  CHECK_FALSE(node.Apply(old_leader.ChangesSince(0, 0, "a")));
  CHECK(node.FindMember("old") == nullptr);
  const ViewDelta overtaken = new_leader.ChangesSince(2, 1, "a");
  new_leader.SetMember(Member("b"));
  REQUIRE(node.Apply(new_leader.ChangesSince(2, node.version(), "a")));
  CHECK_FALSE(node.Apply(overtaken));
}

}  // namespace citrongrade
