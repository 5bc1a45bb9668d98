#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "modules/state/accept_all_config.h"
#include "modules/state/log_entry.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

// A mesh of any size as the log would describe it: members over six
// availability zones, five witnesses each, slots dealt out in turn, so that no
// two neighbouring slots share an owner. That is the least compact table.
class CapacityMesh {
 public:
  static constexpr std::size_t kWitnesses = 5;

  CapacityMesh(std::size_t members, std::uint32_t slots)
      : m_slots(slots), m_state(m_rules) {
    for (std::size_t i = 0; i < members; ++i) {
      AddMember(i);
    }
    for (std::size_t i = 0; i < members; ++i) {
      AddWitnesses(i);
    }
    AddSlots();
  }
  // The state refers to the rules beside it.
  CapacityMesh(const CapacityMesh&) = delete;
  CapacityMesh& operator=(const CapacityMesh&) = delete;

  static const ServiceId& service() {
    static const auto& id = *new ServiceId{
        WorkspaceName("instituto-amostra-justa"), ServiceName("sorteio")};
    return id;
  }

  MeshState& state() { return m_state; }
  const std::vector<MemberId>& members() const { return m_members; }
  std::uint32_t slots() const { return m_slots; }

  bool Apply(const Record& record) {
    return m_state.Apply({m_state.next_offset(), RecordId("r"), record})
        .accepted();
  }

  // The slots of one member dealt out over all others, with the testimonies
  // that it takes.
  TakeoverRecord MakeTakeover(std::size_t lost) const {
    TakeoverRecord record;
    record.lost = m_members[lost];
    record.service = service();
    const Member* member = m_state.FindMember(record.lost);
    for (std::size_t i = 0; i < member->witnesses.MajoritySize(); ++i) {
      record.testimonies.push_back({member->witnesses.witnesses[i].member,
                                    member->witnesses.version, false});
    }
    const SlotTable* table = m_state.FindSlots(service());
    std::size_t successor = lost;
    for (const SlotIndex slot : table->SlotsOf(record.lost)) {
      successor = Next(successor, lost);
      record.runs.push_back({slot, 1, m_members[successor]});
    }
    return record;
  }

  // One slot from a member to the next.
  TransferRecord MakeTransfer(std::uint32_t slot) const {
    const SlotTable* table = m_state.FindSlots(service());
    const MemberId owner = table->OwnerOf(SlotIndex(slot))->owner;
    const MemberId next = owner == m_members[0] ? m_members[1] : m_members[0];
    return {
        owner, service(), m_state.next_offset(), {{SlotIndex(slot), 1, next}}};
  }

 private:
  std::size_t Next(std::size_t index, std::size_t except) const {
    const std::size_t next = (index + 1) % m_members.size();
    return next == except ? (next + 1) % m_members.size() : next;
  }

  void AddMember(std::size_t index) {
    constexpr std::size_t kZones = 6;
    const std::string number = std::to_string(index);
    JoinRecord join;
    join.node = NodeId("recife-derby-host-" + number);
    join.availability_zone =
        AvailabilityZone("zone-" + std::to_string(index % kZones));
    const std::string ip = "10.20." + std::to_string(index / 250) + "." +
                           std::to_string(index % 250);
    join.caller_address = ip + ":7100";
    join.control_address = ip + ":7101";
    join.data_address = ip + ":7102";
    join.peer_address = ip + ":7103";
    join.boot_id = "7a3e0f8c-0000-4000-8000-" + std::string(12, '0');
    join.service = service();
    join.target_slots = 12;
    join.target_connections = 110;
    m_members.push_back(
        {join.node, Incarnation(m_state.next_offset().value())});
    Apply(join);
  }

  void AddWitnesses(std::size_t index) {
    WitnessSetRecord set{m_members[index], WitnessSetVersion(), {}};
    for (std::size_t i = 1; i <= kWitnesses; ++i) {
      set.witnesses.push_back(m_members[(index + i) % m_members.size()]);
    }
    const WitnessSetVersion version(m_state.next_offset().value());
    Apply(set);
    Apply(WitnessSetConfirmedRecord{m_members[index], version});
  }

  void AddSlots() {
    AssignRecord assign{service(), m_slots, 0, {}};
    for (std::uint32_t slot = 0; slot < m_slots; ++slot) {
      assign.runs.push_back(
          {SlotIndex(slot), 1, m_members[slot % m_members.size()]});
    }
    Apply(assign);
  }

  std::uint32_t m_slots;
  AcceptAllConfig m_rules;
  MeshState m_state;
  std::vector<MemberId> m_members;
};

}  // namespace citrongrade
