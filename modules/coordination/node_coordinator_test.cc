#include "modules/coordination/node_coordinator.h"

#include <doctest/doctest.h>

#include <optional>

#include "modules/coordination/registration.h"
#include "modules/coordination/testing/simulated_mesh.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RequestIdHash kId{7, 7};

SimulatedMesh::Shape MakeShape(std::size_t nodes) {
  SimulatedMesh::Shape shape;
  shape.nodes = nodes;
  return shape;
}

ProtectedRequest MakeRequest(SimulatedNode& node, SlotIndex slot) {
  ProtectedRequest request;
  request.service = node.service();
  request.slot = slot;
  request.id = kId;
  request.resend_horizon = seconds(60);
  return request;
}

std::optional<SlotIndex> FindOwnSlot(SimulatedMesh& mesh, std::size_t number) {
  for (std::uint32_t i = 0; i < 8; ++i) {
    if (mesh.node(number).IsGranted(SlotIndex(i))) {
      return SlotIndex(i);
    }
  }
  return std::nullopt;
}

std::size_t FindServer(SimulatedMesh& mesh, SlotIndex slot) {
  for (std::size_t i = 0; i < mesh.size(); ++i) {
    if (mesh.node(i).IsGranted(slot)) {
      return i;
    }
  }
  return mesh.size();
}

// Asks until there is an answer that will not change by waiting a little.
Registration RegisterAt(SimulatedMesh& mesh,
                        std::size_t number,
                        SlotIndex slot) {
  std::optional<Registration> answer;
  SimulatedNode& node = mesh.node(number);
  node.board().Register(
      MakeRequest(node, slot),
      [&answer](const Registration& result) { answer = result; });
  mesh.RunFor(milliseconds(100));
  REQUIRE(answer.has_value());
  return *answer;
}

}  // namespace

// An owner's process is killed. Callers of its keys are refused until its lease
// has run out, its witnesses have closed it, and a successor has read the
// takeover: under two seconds. Nobody else's slots move.
TEST_CASE("a lost owner's slots are served again within two seconds") {
  SimulatedMesh mesh(1, MakeShape(5));
  REQUIRE(mesh.Boot());
  mesh.RunFor(seconds(3));
  const std::uint64_t moved_before = mesh.moved_slots();
  const std::size_t own =
      mesh.reference()
          .FindSlots(mesh.node(2).service())
          ->CountOwnedBy(*mesh.node(2).coordinator().Dump().identity);
  mesh.node(2).Kill();
  mesh.RunFor(milliseconds(100));
  CHECK_FALSE(mesh.IsEverySlotServed());
  CHECK(mesh.RunUntilServed(milliseconds(1800)));
  CHECK(mesh.moved_slots() - moved_before == own);
}

// The log is away for a minute. Owners that live renew with their witnesses and
// serve all the while; callers see nothing.
TEST_CASE("owners that live serve through an outage of the log") {
  SimulatedMesh mesh(2, MakeShape(5));
  REQUIRE(mesh.Boot());
  mesh.RunFor(seconds(2));
  mesh.log().SetOutage(true);
  for (int i = 0; i < 600; ++i) {
    mesh.RunFor(milliseconds(100));
    REQUIRE(mesh.IsEverySlotServed());
  }
  mesh.log().SetOutage(false);
  CHECK(mesh.violations().empty());
}

// An owner is paused in the middle of a dispatch, for longer than its lease.
// When it wakes, the first thing that it does is the dispatch: refused, by the
// clock alone, before any message could tell it that others own its slots.
TEST_CASE("a paused owner dispatches nothing when it wakes") {
  SimulatedMesh mesh(3, MakeShape(4));
  REQUIRE(mesh.Boot());
  mesh.RunFor(seconds(2));
  const std::optional<SlotIndex> slot = FindOwnSlot(mesh, 1);
  REQUIRE(slot.has_value());
  std::optional<GrantDecision> decision;
  mesh.node(1).Pause();
  mesh.node(1).RunInProcess(milliseconds(1), [&mesh, &decision, slot] {
    decision = mesh.node(1).board().CheckGrant(mesh.node(1).service(), *slot);
  });
  mesh.RunFor(seconds(3));
  CHECK(FindServer(mesh, *slot) != mesh.size());
  mesh.node(1).Resume();
  REQUIRE(decision.has_value());
  CHECK(decision->refused == RequestErrorCode::kLeaseLost);
}

// A process is killed and started again at once on the same host. It takes back
// its own slots under a new incarnation; no slot changes its node.
TEST_CASE("a quick restart in place moves no slot") {
  SimulatedMesh mesh(4, MakeShape(5));
  REQUIRE(mesh.Boot());
  mesh.RunFor(seconds(3));
  const std::uint64_t moved_before = mesh.moved_slots();
  mesh.node(3).Kill();
  mesh.RunFor(milliseconds(100));
  mesh.node(3).Start();
  CHECK(mesh.RunUntilServed(seconds(2)));
  CHECK(mesh.moved_slots() == moved_before);
}

// A request ran at an owner that is then lost. Its caller sends it again: the
// successor learned the id from the lost owner's witnesses and refuses to run
// it; it can't know the answer.
TEST_CASE("a successor does not run again what the lost owner ran") {
  SimulatedMesh mesh(5, MakeShape(5));
  REQUIRE(mesh.Boot());
  mesh.RunFor(seconds(3));
  const std::optional<SlotIndex> slot = FindOwnSlot(mesh, 2);
  REQUIRE(slot.has_value());
  REQUIRE(RegisterAt(mesh, 2, *slot).may_run());
  mesh.node(2).Kill();
  REQUIRE(mesh.RunUntilServed(seconds(3)));
  mesh.RunFor(milliseconds(200));
  const std::size_t successor = FindServer(mesh, *slot);
  CHECK(RegisterAt(mesh, successor, *slot).refused ==
        RequestErrorCode::kAlreadyRun);
}

// A node drains. Its slots go one by one to others, with the ids and the small
// answers of what ran, so a resend gets the first run's answer from the new
// owner. The node then leaves for good.
TEST_CASE("a drained node hands over ids and answers, and leaves") {
  SimulatedMesh mesh(6, MakeShape(5));
  REQUIRE(mesh.Boot());
  mesh.RunFor(seconds(3));
  const std::optional<SlotIndex> slot = FindOwnSlot(mesh, 2);
  REQUIRE(slot.has_value());
  REQUIRE(RegisterAt(mesh, 2, *slot).may_run());
  SimulatedNode& leaving = mesh.node(2);
  const StoredAnswer answer{200, "text/plain", "locked"};
  leaving.board().Finish(MakeRequest(leaving, *slot),
                         std::make_shared<const StoredAnswer>(answer));
  leaving.Drain();
  mesh.RunFor(seconds(10));
  CHECK(leaving.HasLeft());
  const std::size_t receiver = FindServer(mesh, *slot);
  REQUIRE(receiver != mesh.size());
  const Registration registration = RegisterAt(mesh, receiver, *slot);
  CHECK(registration.refused == RequestErrorCode::kAlreadyRun);
  REQUIRE(registration.answer != nullptr);
  CHECK(*registration.answer == answer);
}

// Work runs in a slot while its node drains. The slot is not transferred before
// the work has ended, so that no two targets ever work in it.
TEST_CASE("a slot moves only after its work has ended") {
  SimulatedMesh mesh(7, MakeShape(5));
  REQUIRE(mesh.Boot());
  mesh.RunFor(seconds(3));
  const std::optional<SlotIndex> slot = FindOwnSlot(mesh, 2);
  REQUIRE(slot.has_value());
  SimulatedNode& leaving = mesh.node(2);
  REQUIRE(leaving.board().CheckGrant(leaving.service(), *slot).granted());
  leaving.Drain();
  mesh.RunFor(seconds(3));
  CHECK(FindServer(mesh, *slot) == mesh.size());
  leaving.board().EndWork(leaving.service(), *slot);
  CHECK(mesh.RunUntilServed(seconds(1)));
}

// The only node of a service is paused for longer than its lease. Nobody can
// take its slots, so its witnesses leave its lease open, and it serves again
// soon after it wakes.
TEST_CASE("the only node of a service serves again after a pause") {
  SimulatedMesh::Shape shape = MakeShape(6);
  shape.two_services = true;
  SimulatedMesh mesh(8, shape);
  REQUIRE(mesh.Boot());
  mesh.RunFor(seconds(3));
  const WitnessSetVersion before =
      mesh.node(5).coordinator().Dump().counted_witness_set;
  mesh.node(5).Pause();
  mesh.RunFor(seconds(4));
  CHECK_FALSE(mesh.IsEverySlotServed());
  mesh.node(5).Resume();
  CHECK(mesh.RunUntilServed(milliseconds(500)));
  CHECK(mesh.node(5).coordinator().Dump().counted_witness_set == before);
}

// A holder loses the log and one witness. An operator declares another witness
// gone, which the log counts as closed at once; but the holder still has the
// grant that it gave a moment before, and serves. The takeover has to wait
// until that grant has run out.
TEST_CASE("a departed witness counts only when its last grant is over") {
  SimulatedMesh mesh(11, MakeShape(4));
  REQUIRE(mesh.Boot());
  mesh.RunFor(seconds(3));
  const auto witnesses = mesh.node(0).coordinator().Dump().witnesses;
  REQUIRE(witnesses.size() == 3);
  const std::size_t cut = mesh.FindNode(witnesses[0].member.node)->number();
  mesh.log().SetCut(0, true);
  mesh.network().Cut(0, cut);
  mesh.network().Cut(cut, 0);
  mesh.RunFor(milliseconds(1300));
  mesh.Forget(witnesses[1].member);
  mesh.RunFor(seconds(4));
  CHECK(mesh.violations().empty());
  CHECK(mesh.reference().FindMember(
            *mesh.node(0).coordinator().Dump().identity) == nullptr);
}

// A node can't reach the log until the records that it has not read are gone.
// It distrusts its table and serves nothing until it has found a snapshot, then
// agrees with all others.
TEST_CASE("a node that missed records goes on from a snapshot") {
  SimulatedMesh mesh(9, MakeShape(5));
  REQUIRE(mesh.Boot());
  mesh.RunFor(seconds(2));
  mesh.log().SetCut(1, true);
  for (int i = 0; i < 20; ++i) {
    mesh.PublishByTwoOperators();
    mesh.RunFor(milliseconds(200));
  }
  mesh.log().PassRetention();
  REQUIRE(mesh.log().First() > mesh.node(1).coordinator().NextReadOffset());
  mesh.log().SetCut(1, false);
  mesh.RunFor(seconds(1));
  CHECK_FALSE(mesh.node(1).coordinator().Dump().in_log_gap);
  CHECK(mesh.node(1).coordinator().state().Image() == mesh.reference().Image());
}

// Every host is replaced at once, so no witness can testify and no process can
// take back its slots. Nobody guesses: the slots wait, until an operator
// vouches that the old members are gone.
TEST_CASE("slots without any evidence wait for the operator") {
  SimulatedMesh mesh(10, MakeShape(4));
  REQUIRE(mesh.Boot());
  mesh.RunFor(seconds(2));
  for (std::size_t i = 0; i < mesh.size(); ++i) {
    mesh.node(i).ReplaceHost();
    mesh.node(i).Kill();
  }
  mesh.RunFor(seconds(1));
  for (std::size_t i = 0; i < mesh.size(); ++i) {
    mesh.node(i).Start();
  }
  CHECK_FALSE(mesh.RunUntilServed(seconds(10)));
  mesh.HealAndCheck();
  CHECK(mesh.violations().empty());
}

}  // namespace citrongrade
