#include "modules/state/mesh_state.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "modules/state/accept_all_config.h"

namespace citrongrade {

namespace {

const ServiceId kService{WorkspaceName("instituto"), ServiceName("sorteio")};
constexpr std::uint32_t kSlotCount = 16;

// Applies records to a state as if they were read from the log, and assigns
// offsets.
class ReplayedLog {
 public:
  const MeshState& state() const { return m_state; }

  ApplyResult Append(Record record) {
    return m_state.Apply(
        {m_state.next_offset(), RecordId("any"), std::move(record)});
  }

  MemberId Join(const std::string& node,
                const std::string& boot = "boot",
                const std::string& address = "") {
    JoinRecord record;
    record.node = NodeId(node);
    record.boot_id = boot;
    record.peer_address = address.empty() ? "host-of-" + node : address;
    record.service = kService;
    const Incarnation incarnation(m_state.next_offset().value());
    CHECK(Append(record).accepted());
    return {record.node, incarnation};
  }

  WitnessSetVersion Propose(const MemberId& member,
                            const std::vector<MemberId>& witnesses) {
    const Member* known = m_state.FindMember(member);
    REQUIRE(known != nullptr);
    const WitnessSetVersion version(m_state.next_offset().value());
    CHECK(Append(WitnessSetRecord{member, known->witnesses.version, witnesses})
              .accepted());
    return version;
  }

  WitnessSetVersion GiveWitnesses(const MemberId& member,
                                  const std::vector<MemberId>& witnesses) {
    const WitnessSetVersion version = Propose(member, witnesses);
    CHECK(Append(WitnessSetConfirmedRecord{member, version}).accepted());
    return version;
  }

  ApplyResult Assign(std::vector<OwnedSlotRange> ranges) {
    return Append(AssignRecord{kService, kSlotCount, 0, std::move(ranges)});
  }

 private:
  AcceptAllConfig m_validator;
  MeshState m_state{m_validator};
};

OwnedSlotRange AllSlotsTo(const MemberId& member) {
  return {SlotIndex(0), kSlotCount, member};
}

// An owner "a" of all slots with the witnesses "b", "c" and "d".
struct OwnedMesh {
  ReplayedLog log;
  MemberId owner = log.Join("a");
  MemberId b = log.Join("b");
  MemberId c = log.Join("c");
  MemberId d = log.Join("d");
  WitnessSetVersion version = log.GiveWitnesses(owner, {b, c, d});

  OwnedMesh() {
    log.GiveWitnesses(b, {c, d});
    log.GiveWitnesses(c, {b, d});
    CHECK(log.Assign({AllSlotsTo(owner)}).accepted());
  }

  TakeoverRecord Takeover(const MemberId& successor,
                          std::vector<Testimony> testimonies) const {
    return {owner, kService, std::move(testimonies), {AllSlotsTo(successor)}};
  }

  MemberId OwnerOfFirstSlot() const {
    return log.state().FindSlots(kService)->OwnerOf(SlotIndex(0))->owner;
  }
};

}  // namespace

TEST_CASE(
    "of two members that claim the same unowned slots, the first in the log "
    "wins") {
  // Both members see the slots as unowned and append an assignment. The first
  // one in the log is accepted, the second one is rejected.
  ReplayedLog log;
  const MemberId a = log.Join("a");
  const MemberId b = log.Join("b");
  log.GiveWitnesses(a, {b});
  log.GiveWitnesses(b, {a});
  CHECK(log.Assign({AllSlotsTo(a)}).accepted());
  CHECK(log.Assign({AllSlotsTo(b)}).rejected == RejectReason::kNotOwner);
  CHECK(log.state().FindSlots(kService)->CountOwnedBy(a) == kSlotCount);
}

TEST_CASE("an assignment is applied completely or not at all") {
  ReplayedLog log;
  const MemberId a = log.Join("a");
  const ApplyResult result =
      log.Assign({{SlotIndex(0), 4, a}, {SlotIndex(3), 2, a}});
  CHECK(result.rejected == RejectReason::kBadSlots);
  CHECK(log.state().FindSlots(kService) == nullptr);
}

TEST_CASE(
    "slots can't be assigned to a member without witnesses, unless it is "
    "alone") {
  // Nobody could prove that such an owner's lease has expired, so if it were
  // lost, its slots would not be served until an operator intervenes.
  ReplayedLog log;
  const MemberId a = log.Join("a");
  CHECK(log.Assign({{SlotIndex(0), 1, a}}).accepted());
  log.Join("b");
  CHECK(log.Assign({{SlotIndex(1), 1, a}}).rejected ==
        RejectReason::kOwnerWithoutWitnesses);
}

TEST_CASE("a takeover needs a majority of the lost member's witnesses") {
  OwnedMesh mesh;
  const Testimony from_b{mesh.b, mesh.version};
  const Testimony from_c{mesh.c, mesh.version};

  SUBCASE("one of three is not a majority") {
    CHECK(mesh.log.Append(mesh.Takeover(mesh.b, {from_b})).rejected ==
          RejectReason::kNotEnoughTestimonies);
  }
  SUBCASE("a witness that testifies twice counts once") {
    CHECK(mesh.log.Append(mesh.Takeover(mesh.b, {from_b, from_b})).rejected ==
          RejectReason::kNotEnoughTestimonies);
  }
  SUBCASE("a testimony of a member that is not a witness is rejected") {
    const MemberId stranger = mesh.log.Join("e");
    const Testimony strange{stranger, mesh.version};
    CHECK(mesh.log.Append(mesh.Takeover(mesh.b, {from_b, strange})).rejected ==
          RejectReason::kBadTestimony);
  }
  SUBCASE("two of three are a majority, and a repeated takeover is rejected") {
    CHECK(mesh.log.Append(mesh.Takeover(mesh.b, {from_b, from_c})).accepted());
    CHECK(mesh.OwnerOfFirstSlot() == mesh.b);
    CHECK(mesh.log.Append(mesh.Takeover(mesh.c, {from_b, from_c})).rejected ==
          RejectReason::kUnknownMember);
    CHECK(mesh.OwnerOfFirstSlot() == mesh.b);
    const Epoch epoch =
        mesh.log.state().FindSlots(kService)->OwnerOf(SlotIndex(0))->epoch;
    REQUIRE(mesh.log.state().FindTakeover(epoch) != nullptr);
    CHECK(mesh.log.state().FindTakeover(epoch)->lost == mesh.owner);
  }
}

TEST_CASE("a takeover by witnesses that the owner has replaced is rejected") {
  // Since its confirmation the owner relies on b, c and e. Testimonies of b and
  // c for the old set say nothing about its current lease: accepting the
  // takeover would make two owners.
  OwnedMesh mesh;
  const MemberId e = mesh.log.Join("e");
  mesh.log.GiveWitnesses(mesh.owner, {mesh.b, mesh.c, e});
  const ApplyResult result = mesh.log.Append(
      mesh.Takeover(mesh.b, {{mesh.b, mesh.version}, {mesh.c, mesh.version}}));
  CHECK(result.rejected == RejectReason::kBadTestimony);
  CHECK(mesh.OwnerOfFirstSlot() == mesh.owner);
}

TEST_CASE("while a witness set is pending, a takeover needs both majorities") {
  // The owner may already rely on the new set while its confirmation is not yet
  // in the log. Until then nobody knows which set it relies on, so majorities
  // of both must testify that its lease has expired.
  OwnedMesh mesh;
  const MemberId e = mesh.log.Join("e");
  const MemberId f = mesh.log.Join("f");
  const WitnessSetVersion pending =
      mesh.log.Propose(mesh.owner, {mesh.b, e, f});
  const std::vector<Testimony> of_old = {{mesh.b, mesh.version},
                                         {mesh.c, mesh.version}};
  CHECK(mesh.log.Append(mesh.Takeover(mesh.b, of_old)).rejected ==
        RejectReason::kNotEnoughTestimonies);

  std::vector<Testimony> of_both = of_old;
  of_both.push_back({mesh.b, pending});
  CHECK(mesh.log.Append(mesh.Takeover(mesh.b, of_both)).rejected ==
        RejectReason::kNotEnoughTestimonies);
  of_both.push_back({e, pending});
  CHECK(mesh.log.Append(mesh.Takeover(mesh.b, of_both)).accepted());
}

TEST_CASE(
    "a restarted witness testifies for its earlier process only on the same "
    "boot") {
  // c restarts. If its earlier process were only paused on another host, it
  // could resume and renew the owner's lease after c's testimony was counted.
  OwnedMesh mesh;
  const std::vector<Testimony> testimonies = {{mesh.b, mesh.version, false},
                                              {mesh.c, mesh.version, true}};

  SUBCASE("same boot, same address") {
    mesh.log.Join("c");
    CHECK(mesh.log.Append(mesh.Takeover(mesh.b, testimonies)).accepted());
  }
  SUBCASE("another boot") {
    mesh.log.Join("c", "another boot");
    CHECK(mesh.log.Append(mesh.Takeover(mesh.b, testimonies)).rejected ==
          RejectReason::kBadTestimony);
  }
  SUBCASE("another address") {
    mesh.log.Join("c", "boot", "elsewhere");
    CHECK(mesh.log.Append(mesh.Takeover(mesh.b, testimonies)).rejected ==
          RejectReason::kBadTestimony);
  }
  SUBCASE("the witness did not restart") {
    CHECK(mesh.log.Append(mesh.Takeover(mesh.b, testimonies)).rejected ==
          RejectReason::kBadTestimony);
  }
}

TEST_CASE(
    "a witness counts as closed when it left or was forgotten, not when it "
    "was taken over") {
  OwnedMesh mesh;
  const std::vector<Testimony> testimonies = {{mesh.b, mesh.version}};

  SUBCASE("left") {
    CHECK(mesh.log.Append(LeaveRecord{mesh.d}).accepted());
    CHECK(mesh.log.Append(mesh.Takeover(mesh.b, testimonies)).accepted());
  }
  SUBCASE("forgotten by an operator") {
    CHECK(mesh.log.Append(ForgetRecord{mesh.d, "operator"}).accepted());
    CHECK(mesh.log.Append(mesh.Takeover(mesh.b, testimonies)).accepted());
  }
  SUBCASE("taken over: it may be paused, and grant the lease when it resumes") {
    const WitnessSetVersion version =
        mesh.log.state().FindMember(mesh.c)->witnesses.version;
    const TakeoverRecord of_witness{
        mesh.c, kService, {{mesh.b, version}, {mesh.d, version}}, {}};
    CHECK(mesh.log.Append(of_witness).accepted());
    CHECK(mesh.log.Append(mesh.Takeover(mesh.b, testimonies)).rejected ==
          RejectReason::kNotEnoughTestimonies);
  }
}

TEST_CASE(
    "a node that restarts in place takes its own slots back without "
    "witnesses") {
  OwnedMesh mesh;

  SUBCASE("same boot, same address: its earlier process can't be alive") {
    const MemberId again = mesh.log.Join("a");
    mesh.log.GiveWitnesses(again, {mesh.b, mesh.c, mesh.d});
    CHECK(mesh.log.Append(mesh.Takeover(again, {})).accepted());
    CHECK(mesh.OwnerOfFirstSlot() == again);
  }
  SUBCASE("another boot: possibly another host with the same node name") {
    const MemberId again = mesh.log.Join("a", "another boot");
    mesh.log.GiveWitnesses(again, {mesh.b, mesh.c, mesh.d});
    CHECK(mesh.log.Append(mesh.Takeover(again, {})).rejected ==
          RejectReason::kNotEnoughTestimonies);
  }
  SUBCASE("another member can't take the slots without testimonies") {
    mesh.log.Join("a");
    CHECK(mesh.log.Append(mesh.Takeover(mesh.b, {})).rejected ==
          RejectReason::kNotEnoughTestimonies);
  }
}

TEST_CASE("a transfer is valid from the owner only, and to a current member") {
  OwnedMesh mesh;
  const OwnedSlotRange to_b{SlotIndex(3), 2, mesh.b};
  const LogOffset now = mesh.log.state().next_offset();
  CHECK(
      mesh.log.Append(TransferRecord{mesh.c, kService, now, {to_b}}).rejected ==
      RejectReason::kNotOwner);
  CHECK(mesh.log.Append(TransferRecord{mesh.owner, kService, now, {to_b}})
            .accepted());
  CHECK(mesh.log.Append(TransferRecord{mesh.owner, kService, now, {to_b}})
            .rejected == RejectReason::kNotOwner);

  mesh.log.Join("c");
  const OwnedSlotRange to_old_c{SlotIndex(0), 1, mesh.c};
  CHECK(mesh.log.Append(TransferRecord{mesh.owner, kService, now, {to_old_c}})
            .rejected == RejectReason::kUnknownMember);
}

TEST_CASE("a repeated transfer is rejected if its slots were returned since") {
  // The owner's first transfer gets no reply from the log, and later the slot
  // returns to the owner. Then the first append arrives after all. If it were
  // accepted, it would take the slot from an owner that serves it.
  OwnedMesh mesh;
  const LogOffset before = mesh.log.state().next_offset();
  const OwnedSlotRange to_b{SlotIndex(3), 2, mesh.b};
  const OwnedSlotRange back{SlotIndex(3), 2, mesh.owner};
  const TransferRecord late{mesh.owner, kService, before, {to_b}};
  REQUIRE(mesh.log.Append(late).accepted());
  const LogOffset then = mesh.log.state().next_offset();
  REQUIRE(mesh.log.Append(TransferRecord{mesh.b, kService, then, {back}})
              .accepted());
  CHECK(mesh.log.Append(late).rejected == RejectReason::kStaleVersion);
}

TEST_CASE("a takeover that leaves out slots of the lost member is rejected") {
  // The takeover removes the lost member. A slot that is left out would keep an
  // owner from which no takeover is possible any more.
  OwnedMesh mesh;
  const TakeoverRecord partial{mesh.owner,
                               kService,
                               {{mesh.b, mesh.version}, {mesh.c, mesh.version}},
                               {{SlotIndex(0), kSlotCount - 1, mesh.b}}};
  CHECK(mesh.log.Append(partial).rejected == RejectReason::kBadSlots);
}

TEST_CASE("a member that owns slots can't leave") {
  OwnedMesh mesh;
  CHECK(mesh.log.Append(LeaveRecord{mesh.owner}).rejected ==
        RejectReason::kMemberOwnsSlots);
}

TEST_CASE(
    "of two operators who publish at once, the second in the log gets a "
    "conflict") {
  ReplayedLog log;
  const ConfigRecord first{ConfigKind::kTemplate, "sampling", {}, "{}", "ana"};
  const ConfigRecord second{ConfigKind::kTemplate, "sampling", {}, "[]", "rui"};
  CHECK(log.Append(first).accepted());
  CHECK(log.Append(second).rejected == RejectReason::kStaleVersion);
  const ConfigEntry* entry =
      log.state().FindConfig(ConfigKind::kTemplate, "sampling");
  REQUIRE(entry != nullptr);
  CHECK(entry->operator_name == "ana");
}

TEST_CASE("a restored state applies later records like the original") {
  // A node that was away for longer than the log's retention starts from a
  // snapshot. It must then reach the same state as the other nodes from the
  // records that follow.
  OwnedMesh mesh;
  mesh.log.Join("c");
  mesh.log.Propose(mesh.owner, {mesh.b, mesh.d});
  CHECK(mesh.log.Append(ForgetRecord{mesh.d, "operator"}).accepted());
  const AcceptAllConfig validator;
  MeshState restored(validator, mesh.log.state().Image());
  CHECK(restored.Image() == mesh.log.state().Image());

  const MemberId e{NodeId("e"),
                   Incarnation(mesh.log.state().next_offset().value())};
  JoinRecord join;
  join.node = e.node;
  join.service = kService;
  const std::vector<Record> records = {
      join, WitnessSetRecord{e, {}, {mesh.b}},
      WitnessSetConfirmedRecord{e,
                                WitnessSetVersion(e.incarnation.value() + 1)},
      TransferRecord{mesh.owner,
                     kService,
                     mesh.log.state().next_offset(),
                     {{SlotIndex(5), 3, e}}}};
  for (const Record& record : records) {
    const LogEntry entry{restored.next_offset(), RecordId("any"), record};
    CHECK(restored.Apply(entry).accepted());
    CHECK(mesh.log.Append(record).accepted());
  }
  CHECK(restored.Image() == mesh.log.state().Image());
}

}  // namespace citrongrade
