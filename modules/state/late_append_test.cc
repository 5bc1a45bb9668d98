#include <doctest/doctest.h>

#include "modules/state/accept_all_config.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

namespace {

const ServiceId kService{WorkspaceName("mesh"), ServiceName("alpha")};

// A log with three members, each with the next one as its witness.
class ThreeMemberLog {
 public:
  ThreeMemberLog() : m_state(m_accept_all) {
    for (int i = 0; i < 3; ++i) {
      JoinRecord join;
      join.node = NodeId(std::to_string(i));
      join.service = kService;
      m_members.push_back(
          {join.node, Incarnation(m_state.next_offset().value())});
      Apply(join);
    }
    for (std::size_t i = 0; i < 3; ++i) {
      const auto offset = m_state.next_offset();
      Apply(WitnessSetRecord{member(i), {}, {member((i + 1) % 3)}});
      Apply(WitnessSetConfirmedRecord{member(i),
                                      WitnessSetVersion(offset.value())});
    }
    Apply(AssignRecord{kService, 4, 0, {{SlotIndex(0), 4, member(0)}}});
  }

  ApplyResult Apply(const Record& record) {
    const LogOffset offset = m_state.next_offset();
    return m_state.Apply(
        {offset, RecordId(std::to_string(offset.value())), record});
  }
  const MemberId& member(std::size_t i) const { return m_members[i]; }
  const MeshState& state() const { return m_state; }

  TransferRecord MakeTransfer(std::size_t from, std::size_t to) const {
    return {member(from),
            kService,
            m_state.next_offset(),
            {{SlotIndex(0), 1, member(to)}}};
  }

 private:
  AcceptAllConfig m_accept_all;
  MeshState m_state;
  std::vector<MemberId> m_members;
};

}  // namespace

// An owner's transfer gets no reply, so the owner appends a second copy, which
// arrives first. The slot returns to the owner, then the first copy arrives. If
// it were accepted, the receiver would serve the slot while the owner, which
// has not read that record yet, still serves it.
TEST_CASE("a delayed transfer does not take a slot that was returned") {
  ThreeMemberLog log;
  const TransferRecord first = log.MakeTransfer(0, 1);
  CHECK(log.Apply(log.MakeTransfer(0, 1)).accepted());
  CHECK(log.Apply(log.MakeTransfer(1, 0)).accepted());
  CHECK(log.Apply(first).rejected == RejectReason::kStaleVersion);
  CHECK(log.state().FindSlots(kService)->CountOwnedBy(log.member(0)) == 4);
}

// A node's new process leaves before it has taken back the slots of the earlier
// one. Nodes that replay this and nodes that restore a snapshot must agree on
// the current members, or their slot tables differ.
TEST_CASE(
    "a state restored from a snapshot has the same current members as the "
    "replay") {
  ThreeMemberLog log;
  JoinRecord join;
  join.node = NodeId("0");
  join.service = kService;
  const MemberId restarted{join.node,
                           Incarnation(log.state().next_offset().value())};
  log.Apply(join);
  REQUIRE(log.Apply(LeaveRecord{restarted}).accepted());
  const AcceptAllConfig accept_all;
  const MeshState restored(accept_all, log.state().Image());
  REQUIRE(restored.FindCurrentMember(join.node) != nullptr);
  REQUIRE(log.state().FindCurrentMember(join.node) != nullptr);
  CHECK(*restored.FindCurrentMember(join.node) ==
        *log.state().FindCurrentMember(join.node));
}

// A member proposes a witness set twice, since the first proposal got no reply.
// It already relies on the second when the first one arrives. If that were
// accepted, others could take over with witnesses that the member doesn't ask
// for its lease.
TEST_CASE("a delayed witness set proposal does not replace a pending set") {
  ThreeMemberLog log;
  const WitnessSetVersion base =
      log.state().FindMember(log.member(0))->witnesses.version;
  const WitnessSetRecord first{log.member(0), base, {log.member(1)}};
  const LogOffset second = log.state().next_offset();
  CHECK(log.Apply(WitnessSetRecord{log.member(0), base, {log.member(2)}})
            .accepted());
  CHECK(log.Apply(first).rejected == RejectReason::kStaleVersion);
  const WitnessSetVersion pending(second.value());
  CHECK(log.state().FindMember(log.member(0))->pending_witnesses->version ==
        pending);
  CHECK(log.Apply(WitnessSetRecord{log.member(0), pending, {log.member(1)}})
            .accepted());
}

}  // namespace citrongrade
