#include "modules/coordination/node_coordinator_impl.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace citrongrade {

namespace {

// Slots of `runs` that go to `owner`.
std::vector<SlotIndex> SlotsFor(const std::vector<OwnedSlotRange>& runs,
                                const MemberId& owner) {
  std::vector<SlotIndex> slots;
  for (const OwnedSlotRange& run : runs) {
    for (std::uint32_t i = 0; run.owner == owner && i < run.count; ++i) {
      slots.emplace_back(run.first.value() + i);
    }
  }
  return slots;
}

}  // namespace

void NodeCoordinator::Impl::BeforeApply(const LogEntry& entry) {
  m_epochs_before.clear();
  if (const auto* takeover = std::get_if<TakeoverRecord>(&entry.record)) {
    const SlotTable* table = state().FindSlots(takeover->service);
    if (table != nullptr) {
      for (const SlotIndex slot : table->SlotsOf(takeover->lost)) {
        m_epochs_before.emplace(slot, table->OwnerOf(slot)->epoch);
      }
    }
  }
  if (const auto* assign = std::get_if<AssignRecord>(&entry.record)) {
    m_service_was_new = state().FindSlots(assign->service) == nullptr;
  }
}

void NodeCoordinator::Impl::AfterApply(const LogEntry& entry,
                                       const ApplyResult& result) {
  m_context.appends().OnReadBack(entry.id, result);
  if (!std::holds_alternative<SnapshotRecord>(entry.record)) {
    m_snapshots.OnRecord();
  }
  if (!result.accepted()) {
    return;
  }
  const bool touches_slots =
      std::holds_alternative<AssignRecord>(entry.record) ||
      std::holds_alternative<TransferRecord>(entry.record) ||
      std::holds_alternative<TakeoverRecord>(entry.record) ||
      std::holds_alternative<ForgetRecord>(entry.record);
  m_publisher.NoteChange(touches_slots);
  std::visit([this, &entry](const auto& record) { OnAccepted(entry, record); },
             entry.record);
}

void NodeCoordinator::Impl::OnAccepted(const LogEntry& entry,
                                       const JoinRecord& record) {
  if (record.node != m_announcement.node) {
    return;
  }
  const bool is_own =
      std::find(m_joins.begin(), m_joins.end(), entry.id) != m_joins.end();
  if (!m_context.self().has_value()) {
    if (is_own) {
      m_context.SetSelf({record.node, Incarnation(entry.offset.value())});
    }
    return;
  }
  Lose(Loss::kSuperseded);
}

void NodeCoordinator::Impl::OnAccepted(const LogEntry& /*entry*/,
                                       const LeaveRecord& record) {
  OnMemberGone(record.member, Loss::kLeft);
}

void NodeCoordinator::Impl::OnAccepted(const LogEntry& /*entry*/,
                                       const WitnessSetRecord& record) {
  const Member* holder = state().FindMember(record.member);
  NoteWitnessed(holder->id, *holder->pending_witnesses);
}

void NodeCoordinator::Impl::OnAccepted(const LogEntry& entry,
                                       const AssignRecord& record) {
  if (!m_context.self().has_value() || record.service != m_context.service()) {
    return;
  }
  const std::vector<SlotIndex> slots = SlotsFor(record.runs, *m_context.self());
  const Epoch epoch(entry.offset.value());
  if (m_service_was_new) {
    m_recovery.OnFirstAssignment(slots, epoch);
    return;
  }
  // Someone owned them before, and an operator declared that one gone.
  for (const SlotIndex slot : slots) {
    m_recovery.OnHistoryLost(slot, epoch,
                             m_context.now() + m_context.ResendHorizon());
  }
}

void NodeCoordinator::Impl::OnAccepted(const LogEntry& entry,
                                       const TransferRecord& record) {
  const bool is_own_service = record.service == m_context.service();
  if (!m_context.self().has_value() || !is_own_service) {
    return;
  }
  const Epoch epoch(entry.offset.value());
  for (const SlotIndex slot : SlotsFor(record.runs, *m_context.self())) {
    m_moves.OnTransferToSelf(record.from, slot, epoch);
  }
  if (record.from != m_context.self()) {
    return;
  }
  for (const OwnedSlotRange& run : record.runs) {
    for (std::uint32_t i = 0; i < run.count; ++i) {
      const SlotIndex slot(run.first.value() + i);
      m_recovery.OnSlotLost(slot);
      m_memory.ForgetSlot(slot);
    }
  }
}

void NodeCoordinator::Impl::OnAccepted(const LogEntry& entry,
                                       const TakeoverRecord& record) {
  OnMemberGone(record.lost, Loss::kTakenOver);
  if (!m_context.self().has_value() || record.service != m_context.service()) {
    return;
  }
  RecoveryCollector::SlotEpochs own;
  for (const SlotIndex slot : SlotsFor(record.runs, *m_context.self())) {
    own.emplace(slot, m_epochs_before.at(slot));
  }
  if (!own.empty()) {
    const Epoch epoch(entry.offset.value());
    m_recovery.OnTakeover(*state().FindTakeover(epoch), own);
  }
}

void NodeCoordinator::Impl::OnAccepted(const LogEntry& /*entry*/,
                                       const ForgetRecord& record) {
  OnMemberGone(record.member, Loss::kTakenOver);
}

void NodeCoordinator::Impl::OnAccepted(const LogEntry& /*entry*/,
                                       const ConfigRecord& /*record*/) {
  ResolveSettings();
  m_listener->OnConfigChanged();
}

void NodeCoordinator::Impl::OnMemberGone(const MemberId& member,
                                         Loss loss_if_self) {
  m_witnessed.NoteGone(member, m_context.now());
  m_context.health().Forget(member);
  if (member == m_context.self()) {
    Lose(loss_if_self);
  }
}

void NodeCoordinator::Impl::NoteWitnessed(const MemberId& holder,
                                          const WitnessSet& set) {
  const bool named =
      m_context.self().has_value() && set.Find(*m_context.self()) != nullptr;
  if (named) {
    m_ledger.NoteWitnessed({holder, set.version}, m_context.now());
  }
}

void NodeCoordinator::Impl::OnRestored() {
  m_context.SetState(m_follower.state());
  m_publisher.NoteChange(true);
  ResolveSettings();
  m_listener->OnConfigChanged();
  if (!m_context.self().has_value()) {
    return;
  }
  const Member* current = state().FindCurrentMember(m_context.self()->node);
  if (m_context.FindSelf() == nullptr) {
    Lose(current == nullptr ? Loss::kTakenOver : Loss::kSuperseded);
    return;
  }
  if (current->id != m_context.self()) {
    Lose(Loss::kSuperseded);
    return;
  }
  for (const auto& [id, member] : state().members()) {
    NoteWitnessed(id, member.witnesses);
    if (member.pending_witnesses.has_value()) {
      NoteWitnessed(id, *member.pending_witnesses);
    }
  }
  RestoreHistories();
}

void NodeCoordinator::Impl::RestoreHistories() {
  const SlotTable* table = state().FindSlots(m_context.service());
  if (table == nullptr) {
    return;
  }
  for (std::uint32_t i = 0; i < table->slot_count(); ++i) {
    const SlotIndex slot(i);
    const auto ownership = table->OwnerOf(slot);
    const SlotHistory* known = m_recovery.Find(slot);
    const bool is_own =
        ownership.has_value() && ownership->owner == m_context.self();
    if (is_own && (known == nullptr || known->epoch != ownership->epoch)) {
      // It came while this node could not read how.
      m_recovery.OnHistoryLost(slot, ownership->epoch,
                               m_context.now() + m_context.ResendHorizon());
    } else if (!is_own && known != nullptr) {
      m_recovery.OnSlotLost(slot);
      m_memory.ForgetSlot(slot);
    }
  }
}

void NodeCoordinator::Impl::ResolveSettings() {
  BoardPublisher::Settings settings = m_settings_resolver->Resolve(state());
  std::shared_ptr<const ServiceSettings> own;
  for (const auto& service : settings) {
    if (service->id == m_context.service()) {
      own = service;
    }
  }
  m_context.SetServiceSettings(std::move(own));
  m_publisher.SetSettings(std::move(settings));
}

}  // namespace citrongrade
