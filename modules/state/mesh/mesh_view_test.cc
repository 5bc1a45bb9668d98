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
  SlotAssignment assignment;
  assignment.range = {first, last};
  assignment.owner = "a";
  assignment.fence = fence;
  return assignment;
}

}  // namespace

TEST_CASE("a node that applies deltas reaches the leader's view") {
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

TEST_CASE("a node gets full details only for the slots that it owns") {
  MeshView leader;
  leader.BeginEpoch(3);
  SlotAssignment assignment = MakeAssignment(10, 20, 5);
  assignment.incarnation = {"t", 7};
  assignment.handover = "token";
  assignment.next = {"b", {"u", 8}, 6};
  leader.Assign("divided", assignment);
  const auto held = [&leader](const std::string& reader) {
    MeshView node;
    node.Apply(leader.ChangesSince(0, 0, reader));
    return node.FindTable("divided")->Find(15);
  };
  CHECK(held("a").SameAssignment(assignment));
  CHECK(held("b").owner == "a");
  CHECK(held("b").fence == 5);
  CHECK_FALSE(held("b").incarnation.is_known());
  CHECK(held("b").handover.empty());
  CHECK_FALSE(held("b").is_moving());
}

TEST_CASE("setting an unchanged member does not raise the version") {
  MeshView view;
  view.BeginEpoch(1);
  view.SetMember(Member("a"));
  const std::uint64_t version = view.version();
  view.SetMember(Member("a"));
  CHECK(view.version() == version);
}

// A deposed leader still replies. A node that accepted its view after that of
// the new leader would send requests to outdated owners.
TEST_CASE("an older leader's view and an outdated delta change nothing") {
  MeshView old_leader;
  old_leader.BeginEpoch(1);
  old_leader.SetMember(Member("old"));
  MeshView new_leader;
  new_leader.BeginEpoch(2);
  MeshView node;
  REQUIRE(node.Apply(new_leader.ChangesSince(0, 0, "a")));
  CHECK_FALSE(node.Apply(old_leader.ChangesSince(0, 0, "a")));
  CHECK(node.FindMember("old") == nullptr);
  const ViewDelta outdated = new_leader.ChangesSince(2, 1, "a");
  new_leader.SetMember(Member("b"));
  REQUIRE(node.Apply(new_leader.ChangesSince(2, node.version(), "a")));
  CHECK_FALSE(node.Apply(outdated));
}

}  // namespace citrongrade
