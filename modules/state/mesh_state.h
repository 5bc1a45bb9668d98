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

// The state replayed from the platform's log: members, witness sets, slot
// owners and configuration. Pass it every entry in order of offset. Whether an
// entry is accepted depends only on the entry and on those before it, so all
// nodes reach the same state.
//
// It has no clock and tracks no leases: an owner in this state may serve only
// while its lease is valid as well (LeaseHolder in coordination).
class MeshState {
 public:
  // `validator` must outlive the state.
  explicit MeshState(const ConfigValidator& validator);
  MeshState(const ConfigValidator& validator, const MeshImage& image);

  // Applies the entry at next_offset(). Asserts that no entry is skipped.
  ApplyResult Apply(const LogEntry& entry);

  // Offset of the entry to apply next.
  LogOffset next_offset() const { return m_next_offset; }

  // A current member, or a superseded one that still owns slots. Null if there
  // is none.
  const Member* FindMember(const MemberId& id) const;
  // The latest incarnation of a node. Null if the node never joined or is gone.
  const Member* FindCurrentMember(const NodeId& node) const;
  // All members, including superseded ones, in order of id.
  const std::map<MemberId, Member>& members() const { return m_members; }
  // Only the latest incarnation of each node, in order of node id.
  std::vector<const Member*> CurrentMembers() const;
  // Whether the member left or was declared gone by an operator. Remembered
  // only as long as a witness set names the member.
  bool IsDeparted(const MemberId& id) const;

  // Null before the first assignment.
  const SlotTable* FindSlots(const ServiceId& service) const;
  const std::map<ServiceId, SlotTable>& services() const { return m_services; }
  bool OwnsSlots(const MemberId& id) const;

  // Null if no version is in force.
  const ConfigEntry* FindConfig(ConfigKind kind, const std::string& name) const;
  using ConfigKey = std::pair<ConfigKind, std::string>;
  const std::map<ConfigKey, ConfigEntry>& config() const { return m_config; }

  // The takeover that assigned slots with this epoch. Null if the epoch comes
  // from another kind of record, or if the takeover is older than the latest
  // kMaxTakeoverHistories.
  const TakeoverHistory* FindTakeover(Epoch epoch) const;

  MeshImage Image() const;

  // A takeover's history is needed for some seconds only. At the planned size
  // 73 members join and leave a day, so 256 entries cover days.
  static constexpr std::size_t kMaxTakeoverHistories = 256;
  // 16 times the slots of the largest planned service. A larger number in a
  // record is a mistake that would cost memory on every node.
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
  // Checks that slots of the service may be assigned to this member.
  ApplyResult CheckNewOwner(const ServiceId& service,
                            const MemberId& new_owner) const;
  // Checks that all slots belong to `owner_before` (to nobody if it is empty)
  // and may go to the owners that the record names.
  ApplyResult CheckOwnedRanges(
      const ServiceId& service,
      const SlotTable& table,
      const std::vector<OwnedSlotRange>& ranges,
      const std::optional<MemberId>& owner_before) const;
  ApplyResult CheckTestimonies(const Member& lost,
                               const TakeoverRecord& record) const;
  // Whether the testimony comes from a witness of `set` and refers to this
  // version of the set.
  bool IsValidTestimony(const WitnessSet& set,
                        const Testimony& testimony) const;
  // Number of witnesses of `set` that testified or have departed.
  std::size_t CountTestimonies(const WitnessSet& set,
                               const TakeoverRecord& record) const;
  // Whether all slots go to a later incarnation of the lost node with the same
  // boot id and peer address.
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
