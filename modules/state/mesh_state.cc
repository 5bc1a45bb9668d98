#include "modules/state/mesh_state.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <variant>

#include "modules/state/config_validator.h"

namespace citrongrade {

namespace {

ApplyResult Accept() {
  return {};
}

ApplyResult Reject(RejectReason reason, std::string detail = {}) {
  return {reason, std::move(detail)};
}

Witness MakeWitness(const Member& member) {
  return {member.id, member.announcement.boot_id,
          member.announcement.peer_address};
}

bool HasDuplicates(std::vector<MemberId> members) {
  std::sort(members.begin(), members.end());
  return std::adjacent_find(members.begin(), members.end()) != members.end();
}

bool RangesOverlap(std::vector<OwnedSlotRange> ranges) {
  std::sort(ranges.begin(), ranges.end());
  for (std::size_t i = 1; i < ranges.size(); ++i) {
    const std::uint64_t end_of_previous =
        std::uint64_t{ranges[i - 1].first.value()} + ranges[i - 1].count;
    if (end_of_previous > ranges[i].first.value()) {
      return true;
    }
  }
  return false;
}

void AssignAll(SlotTable& table,
               const std::vector<OwnedSlotRange>& ranges,
               Epoch epoch) {
  for (const OwnedSlotRange& range : ranges) {
    table.Assign(range, epoch);
  }
}

std::uint64_t CountSlots(const std::vector<OwnedSlotRange>& ranges) {
  std::uint64_t count = 0;
  for (const OwnedSlotRange& range : ranges) {
    count += range.count;
  }
  return count;
}

}  // namespace

MeshState::MeshState(const ConfigValidator& validator)
    : m_validator(&validator) {}

MeshState::MeshState(const ConfigValidator& validator, const MeshImage& image)
    : m_validator(&validator), m_next_offset(image.next_offset) {
  for (const Member& member : image.members) {
    m_members.emplace(member.id, member);
    Incarnation& current = m_current[member.id.node];
    current = std::max(current, member.id.incarnation);
  }
  m_departed.insert(image.departed.begin(), image.departed.end());
  for (const MeshImage::Service& service : image.services) {
    SlotTable table(service.slot_count, service.hash_seed);
    for (const auto& [range, epoch] : service.runs) {
      table.Assign(range, epoch);
    }
    m_services.emplace(service.id, std::move(table));
  }
  for (const ConfigEntry& entry : image.config) {
    m_config.emplace(ConfigKey(entry.kind, entry.name), entry);
  }
  m_takeovers.assign(image.takeovers.begin(), image.takeovers.end());
}

ApplyResult MeshState::Apply(const LogEntry& entry) {
  // If the caller skipped or repeated an entry, this slot table would differ
  // from that of other nodes.
  assert(entry.offset == m_next_offset);
  m_next_offset = entry.offset.Next();
  return std::visit(
      [this, &entry](const auto& record) {
        return ApplyRecord(entry.offset, record);
      },
      entry.record);
}

const Member* MeshState::FindMember(const MemberId& id) const {
  const auto found = m_members.find(id);
  return found == m_members.end() ? nullptr : &found->second;
}

const Member* MeshState::FindCurrentMember(const NodeId& node) const {
  const auto found = m_current.find(node);
  return found == m_current.end() ? nullptr : FindMember({node, found->second});
}

std::vector<const Member*> MeshState::CurrentMembers() const {
  std::vector<const Member*> members;
  for (const auto& [node, incarnation] : m_current) {
    const Member* member = FindMember({node, incarnation});
    if (member != nullptr) {
      members.push_back(member);
    }
  }
  return members;
}

bool MeshState::IsDeparted(const MemberId& id) const {
  return m_departed.contains(id);
}

const SlotTable* MeshState::FindSlots(const ServiceId& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : &found->second;
}

bool MeshState::OwnsSlots(const MemberId& id) const {
  return std::any_of(m_services.begin(), m_services.end(),
                     [&id](const auto& service) {
                       return service.second.CountOwnedBy(id) > 0;
                     });
}

const ConfigEntry* MeshState::FindConfig(ConfigKind kind,
                                         const std::string& name) const {
  const auto found = m_config.find(ConfigKey(kind, name));
  return found == m_config.end() ? nullptr : &found->second;
}

const TakeoverHistory* MeshState::FindTakeover(Epoch epoch) const {
  for (const TakeoverHistory& history : m_takeovers) {
    if (history.epoch == epoch) {
      return &history;
    }
  }
  return nullptr;
}

MeshImage MeshState::Image() const {
  MeshImage image;
  image.next_offset = m_next_offset;
  for (const auto& [id, member] : m_members) {
    image.members.push_back(member);
  }
  image.departed.assign(m_departed.begin(), m_departed.end());
  for (const auto& [id, table] : m_services) {
    image.services.push_back(
        {id, table.slot_count(), table.hash_seed(), table.OwnedRanges()});
  }
  for (const auto& [key, entry] : m_config) {
    image.config.push_back(entry);
  }
  image.takeovers.assign(m_takeovers.begin(), m_takeovers.end());
  return image;
}

ApplyResult MeshState::ApplyRecord(LogOffset /*offset*/,
                                   const UnreadableRecord& record) {
  return Reject(RejectReason::kUnreadable, record.reason);
}

ApplyResult MeshState::ApplyRecord(LogOffset offset, const JoinRecord& record) {
  const MemberId id{record.node, Incarnation(offset.value())};
  m_members.emplace(id, Member{id, record, {}, std::nullopt});
  m_current[record.node] = id.incarnation;
  RemoveSupersededWithoutSlots(record.node);
  return Accept();
}

ApplyResult MeshState::ApplyRecord(LogOffset /*offset*/,
                                   const LeaveRecord& record) {
  if (FindMember(record.member) == nullptr) {
    return Reject(RejectReason::kUnknownMember);
  }
  if (OwnsSlots(record.member)) {
    return Reject(RejectReason::kMemberOwnsSlots);
  }
  m_departed.insert(record.member);
  RemoveMember(record.member);
  return Accept();
}

ApplyResult MeshState::ApplyRecord(LogOffset offset,
                                   const WitnessSetRecord& record) {
  const auto found = m_members.find(record.member);
  if (found == m_members.end()) {
    return Reject(RejectReason::kUnknownMember);
  }
  Member& member = found->second;
  if (!IsCurrent(member.id)) {
    return Reject(RejectReason::kSupersededMember);
  }
  // A pending set may be replaced, since until then the member still relies on
  // its confirmed set, of which every takeover needs a majority as well. The
  // proposal names the set that it replaces, so that a delayed append can't
  // replace a set that the member has already started to rely on.
  const WitnessSetVersion latest = member.pending_witnesses.has_value()
                                       ? member.pending_witnesses->version
                                       : member.witnesses.version;
  if (record.based_on != latest) {
    return Reject(RejectReason::kStaleVersion);
  }
  WitnessSet proposed{WitnessSetVersion(offset.value()), {}};
  for (const MemberId& witness : record.witnesses) {
    const Member* known = FindMember(witness);
    if (known == nullptr || !IsCurrent(witness) || witness == member.id) {
      return Reject(RejectReason::kBadWitnessSet);
    }
    proposed.witnesses.push_back(MakeWitness(*known));
  }
  if (proposed.witnesses.empty() || HasDuplicates(record.witnesses)) {
    return Reject(RejectReason::kBadWitnessSet);
  }
  member.pending_witnesses = std::move(proposed);
  return Accept();
}

ApplyResult MeshState::ApplyRecord(LogOffset /*offset*/,
                                   const WitnessSetConfirmedRecord& record) {
  const auto found = m_members.find(record.member);
  if (found == m_members.end()) {
    return Reject(RejectReason::kUnknownMember);
  }
  Member& member = found->second;
  if (!member.pending_witnesses.has_value()) {
    return Reject(RejectReason::kNothingPending);
  }
  if (member.pending_witnesses->version != record.confirmed) {
    return Reject(RejectReason::kStaleVersion);
  }
  member.witnesses = *member.pending_witnesses;
  member.pending_witnesses.reset();
  RemoveUnreferencedDeparted();
  return Accept();
}

ApplyResult MeshState::CheckNewOwner(const ServiceId& service,
                                     const MemberId& new_owner) const {
  const Member* owner = FindMember(new_owner);
  if (owner == nullptr) {
    return Reject(RejectReason::kUnknownMember);
  }
  if (!IsCurrent(new_owner)) {
    return Reject(RejectReason::kSupersededMember);
  }
  if (owner->announcement.service != service) {
    return Reject(RejectReason::kUnknownService);
  }
  // Without witnesses nobody could prove that the owner's lease has expired,
  // and its slots could never be reassigned. A mesh with a single member is
  // exempt: it has no other member to act as a witness.
  const bool alone = m_current.size() == 1;
  if (owner->witnesses.witnesses.empty() && !alone) {
    return Reject(RejectReason::kOwnerWithoutWitnesses);
  }
  return Accept();
}

ApplyResult MeshState::CheckOwnedRanges(
    const ServiceId& service,
    const SlotTable& table,
    const std::vector<OwnedSlotRange>& ranges,
    const std::optional<MemberId>& owner_before) const {
  if (RangesOverlap(ranges)) {
    return Reject(RejectReason::kBadSlots);
  }
  for (const OwnedSlotRange& range : ranges) {
    if (!table.Contains(range)) {
      return Reject(RejectReason::kBadSlots);
    }
    if (!table.IsOwnedBy(range, owner_before)) {
      return Reject(RejectReason::kNotOwner);
    }
    ApplyResult owner = CheckNewOwner(service, range.owner);
    if (!owner.accepted()) {
      return owner;
    }
  }
  return Accept();
}

ApplyResult MeshState::ApplyRecord(LogOffset offset,
                                   const AssignRecord& record) {
  if (record.slot_count == 0 || record.slot_count > kMaxSlotCount ||
      record.runs.empty()) {
    return Reject(RejectReason::kBadSlots);
  }
  const SlotTable unowned(record.slot_count, record.hash_seed);
  const SlotTable* known = FindSlots(record.service);
  const SlotTable& table = known == nullptr ? unowned : *known;
  if (table.slot_count() != record.slot_count ||
      table.hash_seed() != record.hash_seed) {
    return Reject(RejectReason::kBadSlots);
  }
  ApplyResult ownership =
      CheckOwnedRanges(record.service, table, record.runs, std::nullopt);
  if (!ownership.accepted()) {
    return ownership;
  }
  const auto placed = m_services.try_emplace(record.service, table);
  AssignAll(placed.first->second, record.runs, Epoch(offset.value()));
  return Accept();
}

ApplyResult MeshState::ApplyRecord(LogOffset offset,
                                   const TransferRecord& record) {
  const auto found = m_services.find(record.service);
  if (found == m_services.end()) {
    return Reject(RejectReason::kUnknownService);
  }
  if (record.runs.empty()) {
    return Reject(RejectReason::kBadSlots);
  }
  ApplyResult ownership =
      CheckOwnedRanges(record.service, found->second, record.runs, record.from);
  if (!ownership.accepted()) {
    return ownership;
  }
  const Epoch as_of(record.as_of.value());
  for (const OwnedSlotRange& range : record.runs) {
    if (found->second.LatestEpoch(range) >= as_of) {
      return Reject(RejectReason::kStaleVersion);
    }
  }
  AssignAll(found->second, record.runs, Epoch(offset.value()));
  RemoveSupersededWithoutSlots(record.from.node);
  return Accept();
}

ApplyResult MeshState::ApplyRecord(LogOffset offset,
                                   const TakeoverRecord& record) {
  const Member* lost = FindMember(record.lost);
  if (lost == nullptr) {
    return Reject(RejectReason::kUnknownMember);
  }
  if (record.service != lost->announcement.service) {
    return Reject(RejectReason::kUnknownService);
  }
  ApplyResult evidence = CheckTestimonies(*lost, record);
  if (!evidence.accepted()) {
    return evidence;
  }
  // A slot that is left out would keep an owner from which no takeover is
  // possible any more.
  const auto found = m_services.find(record.service);
  const bool has_slots = found != m_services.end();
  const std::uint32_t owned =
      has_slots ? found->second.CountOwnedBy(record.lost) : 0;
  if (CountSlots(record.runs) != owned) {
    return Reject(RejectReason::kBadSlots);
  }
  const Epoch epoch(offset.value());
  if (has_slots) {
    ApplyResult ownership = CheckOwnedRanges(record.service, found->second,
                                             record.runs, record.lost);
    if (!ownership.accepted()) {
      return ownership;
    }
    AssignAll(found->second, record.runs, epoch);
  }
  AddTakeoverHistory(epoch, *lost, record.service);
  RemoveMember(record.lost);
  return Accept();
}

ApplyResult MeshState::ApplyRecord(LogOffset /*offset*/,
                                   const ForgetRecord& record) {
  if (FindMember(record.member) == nullptr) {
    return Reject(RejectReason::kUnknownMember);
  }
  for (auto& [id, table] : m_services) {
    table.Release(record.member);
  }
  m_departed.insert(record.member);
  RemoveMember(record.member);
  return Accept();
}

ApplyResult MeshState::ApplyRecord(LogOffset offset,
                                   const ConfigRecord& record) {
  const ConfigEntry* current = FindConfig(record.kind, record.name);
  const ConfigVersion version =
      current == nullptr ? ConfigVersion() : current->version;
  if (record.based_on != version) {
    return Reject(RejectReason::kStaleVersion,
                  "current version is " + std::to_string(version.value()));
  }
  std::optional<std::string> problem = m_validator->FindProblem(*this, record);
  if (problem.has_value()) {
    return Reject(RejectReason::kInvalidConfig, std::move(*problem));
  }
  m_config.insert_or_assign(
      ConfigKey(record.kind, record.name),
      ConfigEntry{record.kind, record.name, ConfigVersion(offset.value()),
                  record.body, record.operator_name});
  return Accept();
}

ApplyResult MeshState::ApplyRecord(LogOffset /*offset*/,
                                   const SnapshotRecord& /*record*/) {
  // A node that has replayed the whole log learns nothing from a snapshot.
  return Accept();
}

bool MeshState::IsCurrent(const MemberId& id) const {
  const auto found = m_current.find(id.node);
  return found != m_current.end() && found->second == id.incarnation;
}

ApplyResult MeshState::CheckTestimonies(const Member& lost,
                                        const TakeoverRecord& record) const {
  if (IsRestartInPlace(lost, record)) {
    return Accept();
  }
  if (lost.witnesses.witnesses.empty() && !OwnsSlots(lost.id)) {
    // The member never held a lease, so no lease has to expire.
    return Accept();
  }
  for (const Testimony& testimony : record.testimonies) {
    const bool valid = IsValidTestimony(lost.witnesses, testimony) ||
                       (lost.pending_witnesses.has_value() &&
                        IsValidTestimony(*lost.pending_witnesses, testimony));
    if (!valid) {
      return Reject(RejectReason::kBadTestimony);
    }
  }
  const std::size_t counted = CountTestimonies(lost.witnesses, record);
  if (lost.witnesses.witnesses.empty() ||
      counted < lost.witnesses.MajoritySize()) {
    return Reject(RejectReason::kNotEnoughTestimonies);
  }
  if (lost.pending_witnesses.has_value() &&
      CountTestimonies(*lost.pending_witnesses, record) <
          lost.pending_witnesses->MajoritySize()) {
    return Reject(RejectReason::kNotEnoughTestimonies);
  }
  return Accept();
}

bool MeshState::IsValidTestimony(const WitnessSet& set,
                                 const Testimony& testimony) const {
  const Witness* witness = set.Find(testimony.witness);
  if (witness == nullptr || testimony.version != set.version) {
    return false;
  }
  if (!testimony.without_memory) {
    return true;
  }
  // A later incarnation of the witness testifies for the one named in the set.
  // This is safe only if the earlier process has ended: a process that is
  // merely paused could resume and renew the lease that its successor has
  // declared expired. The same boot id and the same listening address prove
  // that it has ended.
  const Member* later = FindCurrentMember(witness->member.node);
  return later != nullptr &&
         later->id.incarnation > witness->member.incarnation &&
         !witness->boot_id.empty() &&
         later->announcement.boot_id == witness->boot_id &&
         later->announcement.peer_address == witness->peer_address;
}

std::size_t MeshState::CountTestimonies(const WitnessSet& set,
                                        const TakeoverRecord& record) const {
  std::size_t count = 0;
  for (const Witness& witness : set.witnesses) {
    const bool testified =
        std::any_of(record.testimonies.begin(), record.testimonies.end(),
                    [&set, &witness](const Testimony& testimony) {
                      return testimony.witness == witness.member &&
                             testimony.version == set.version;
                    });
    if (testified || IsDeparted(witness.member)) {
      ++count;
    }
  }
  return count;
}

bool MeshState::IsRestartInPlace(const Member& lost,
                                 const TakeoverRecord& record) const {
  const Member* later = FindCurrentMember(lost.id.node);
  if (later == nullptr || later->id.incarnation <= lost.id.incarnation) {
    return false;
  }
  const JoinRecord& before = lost.announcement;
  const JoinRecord& now = later->announcement;
  const bool same_place = !before.boot_id.empty() &&
                          before.boot_id == now.boot_id &&
                          before.peer_address == now.peer_address;
  return same_place && std::all_of(record.runs.begin(), record.runs.end(),
                                   [later](const OwnedSlotRange& range) {
                                     return range.owner == later->id;
                                   });
}

void MeshState::RemoveMember(const MemberId& id) {
  m_members.erase(id);
  const auto current = m_current.find(id.node);
  if (current != m_current.end() && current->second == id.incarnation) {
    m_current.erase(current);
    // An earlier incarnation that still owns slots becomes the latest one
    // again, as it does on a node that restores this state from a snapshot.
    for (const auto& [member, entry] : m_members) {
      if (member.node == id.node) {
        m_current[id.node] = member.incarnation;
      }
    }
  }
  RemoveUnreferencedDeparted();
}

void MeshState::RemoveSupersededWithoutSlots(const NodeId& node) {
  const auto first = m_members.lower_bound(MemberId{node, Incarnation()});
  for (auto it = first; it != m_members.end() && it->first.node == node;) {
    const bool superseded = !IsCurrent(it->first);
    if (superseded && !OwnsSlots(it->first)) {
      it = m_members.erase(it);
    } else {
      ++it;
    }
  }
}

void MeshState::RemoveUnreferencedDeparted() {
  if (m_departed.empty()) {
    return;
  }
  std::set<MemberId> referenced;
  const auto add = [&referenced](const WitnessSet& set) {
    for (const Witness& witness : set.witnesses) {
      referenced.insert(witness.member);
    }
  };
  for (const auto& [id, member] : m_members) {
    add(member.witnesses);
    if (member.pending_witnesses.has_value()) {
      add(*member.pending_witnesses);
    }
  }
  std::erase_if(m_departed, [&referenced](const MemberId& id) {
    return !referenced.contains(id);
  });
}

void MeshState::AddTakeoverHistory(Epoch epoch,
                                   const Member& lost,
                                   const ServiceId& service) {
  TakeoverHistory history{epoch, lost.id, service, {lost.witnesses}};
  if (lost.pending_witnesses.has_value()) {
    history.witness_sets.push_back(*lost.pending_witnesses);
  }
  m_takeovers.push_back(std::move(history));
  if (m_takeovers.size() > kMaxTakeoverHistories) {
    m_takeovers.pop_front();
  }
}

}  // namespace citrongrade
