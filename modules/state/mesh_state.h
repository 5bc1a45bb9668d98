#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "modules/state/apply_result.h"
#include "modules/state/config_entry.h"
#include "modules/state/identifiers.h"
#include "modules/state/log_entry.h"
#include "modules/state/member.h"
#include "modules/state/mesh_image.h"
#include "modules/state/service_id.h"
#include "modules/state/slot_table.h"
#include "modules/state/takeover_history.h"

namespace citrongrade {

class ConfigValidator;

// What the platform's log says: members, witness sets, slot owners and
// configuration. Feed it every entry in order of offset; it accepts or rejects
// each by rules that depend on nothing else, so all nodes agree.
//
// It knows no time and holds no lease: an owner here may serve only while its
// lease runs as well (LeaseHolder in coordination).
class MeshState {
 public:
  // The validator outlives the state.
  explicit MeshState(const ConfigValidator& validator);
  MeshState(const ConfigValidator& validator, const MeshImage& image);

  // Applies the entry at next_offset(). Asserts when entries are skipped.
  ApplyResult Apply(const LogEntry& entry);

  // Offset of the entry to apply next.
  LogOffset next_offset() const { return m_next_offset; }

  // A member that the log counts: current, or superseded and still owning
  // slots. Null when there is none.
  const Member* FindMember(const MemberId& id) const;
  // The latest incarnation of a node. Null when it never joined or has gone.
  const Member* FindCurrentMember(const NodeId& node) const;
  // All members, superseded ones too, in order of id.
  const std::map<MemberId, Member>& members() const { return m_members; }
  // Latest incarnations only, in order of node id.
  std::vector<const Member*> CurrentMembers() const;
  // Members that left, or that an operator declared gone, as long as a witness
  // set names them.
  bool IsDeparted(const MemberId& id) const;

  // Null until the first assignment.
  const SlotTable* FindSlots(const ServiceId& service) const;
  const std::map<ServiceId, SlotTable>& services() const { return m_services; }
  bool OwnsSlots(const MemberId& id) const;

  // Null when there is none in force.
  const ConfigEntry* FindConfig(ConfigKind kind, const std::string& name) const;
  using ConfigKey = std::pair<ConfigKind, std::string>;
  const std::map<ConfigKey, ConfigEntry>& config() const { return m_config; }

  // The takeover that gave slots this epoch. Null for an epoch of another
  // record, and for all but the latest kMaxTakeoverHistories takeovers.
  const TakeoverHistory* FindTakeover(Epoch epoch) const;

  MeshImage Image() const;

  // A takeover's history is of use for some seconds after it; 73 members a day
  // come and go at target size, so this covers days.
  static constexpr std::size_t kMaxTakeoverHistories = 256;
  // 16 times the slots of the largest service planned for; a larger number in a
  // record is a mistake that would cost every node memory.
  static constexpr std::uint32_t kMaxSlotCount = 1U << 20;

 private:
  ApplyResult ApplyRecord(LogOffset offset, const UnreadableRecord& record);
  ApplyResult ApplyRecord(LogOffset offset, const JoinRecord& record);
  ApplyResult ApplyRecord(LogOffset offset, const LeaveRecord& record);
  ApplyResult ApplyRecord(LogOffset offset, const WitnessSetRecord& record);
  ApplyResult ApplyRecord(LogOffset offset,
                          const WitnessSetConfirmedRecord& record);
  ApplyResult ApplyRecord(LogOffset offset, const AssignRecord& record);
  ApplyResult ApplyRecord(LogOffset offset, const TransferRecord& record);
  ApplyResult ApplyRecord(LogOffset offset, const TakeoverRecord& record);
  ApplyResult ApplyRecord(LogOffset offset, const ForgetRecord& record);
  ApplyResult ApplyRecord(LogOffset offset, const ConfigRecord& record);
  ApplyResult ApplyRecord(LogOffset offset, const SnapshotRecord& record);

  bool IsCurrent(const MemberId& id) const;
  // Whether slots of the service may go to this member.
  ApplyResult CheckNewOwner(const ServiceId& service,
                            const MemberId& new_owner) const;
  // Whether all runs may go from `owner_before` (nobody when empty) to the
  // owners that they name.
  ApplyResult CheckOwnedRanges(
      const ServiceId& service,
      const SlotTable& table,
      const std::vector<OwnedSlotRange>& runs,
      const std::optional<MemberId>& owner_before) const;
  ApplyResult CheckTestimonies(const Member& lost,
                               const TakeoverRecord& record) const;
  // `testimony` is the word of a witness of `set` on this very set.
  bool IsValidTestimony(const WitnessSet& set,
                        const Testimony& testimony) const;
  // Witnesses of `set` that testified, or that are gone for good.
  std::size_t CountTestimonies(const WitnessSet& set,
                               const TakeoverRecord& record) const;
  // The runs go to a later incarnation of the lost node on the same boot.
  bool IsRestartInPlace(const Member& lost, const TakeoverRecord& record) const;
  void RemoveMember(const MemberId& id);
  void RemoveSupersededWithoutSlots(const NodeId& node);
  void RemoveUnreferencedDeparted();
  void AddTakeoverHistory(Epoch epoch,
                          const Member& lost,
                          const ServiceId& service);

  const ConfigValidator* m_validator;
  LogOffset m_next_offset{1};
  std::map<MemberId, Member> m_members;
  std::map<NodeId, Incarnation> m_current;
  std::set<MemberId> m_departed;
  std::map<ServiceId, SlotTable> m_services;
  std::map<ConfigKey, ConfigEntry> m_config;
  std::deque<TakeoverHistory> m_takeovers;
};

}  // namespace citrongrade
