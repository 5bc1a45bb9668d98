#include "modules/coordination/node_coordinator.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "modules/coordination/board_publisher.h"
#include "modules/coordination/clock.h"
#include "modules/coordination/drain_coordinator.h"
#include "modules/coordination/id_registrar.h"
#include "modules/coordination/lease_holder.h"
#include "modules/coordination/log_follower.h"
#include "modules/coordination/mesh_context.h"
#include "modules/coordination/messages/peer_message.h"
#include "modules/coordination/move_coordinator.h"
#include "modules/coordination/ownership_board.h"
#include "modules/coordination/recovery_collector.h"
#include "modules/coordination/registration_desk.h"
#include "modules/coordination/request_id_memory.h"
#include "modules/coordination/service_settings_resolver.h"
#include "modules/coordination/slot_assigner.h"
#include "modules/coordination/snapshot_scheduler.h"
#include "modules/coordination/takeover_coordinator.h"
#include "modules/coordination/witness_ledger.h"
#include "modules/coordination/witness_set_keeper.h"
#include "modules/coordination/witnessed_ids.h"

namespace citrongrade {

namespace {

constexpr std::size_t kMaxErrors = 16;

// Slots of `runs` that go to `owner`.
std::vector<SlotIndex> SlotsFor(const std::vector<SlotRun>& runs,
                                const MemberId& owner) {
  std::vector<SlotIndex> slots;
  for (const SlotRun& run : runs) {
    for (std::uint32_t i = 0; run.owner == owner && i < run.count; ++i) {
      slots.emplace_back(run.first.value() + i);
    }
  }
  return slots;
}

}  // namespace

class NodeCoordinator::Impl final : public LogFollower::Observer {
 public:
  Impl(const Dependencies& dependencies,
       const JoinRecord& announcement,
       const CoordinatorSettings& settings,
       std::uint64_t random_seed,
       const Safeguards& safeguards)
      : m_clock(&dependencies.clock),
        m_settings_resolver(&dependencies.settings_resolver),
        m_board(&dependencies.board),
        m_listener(&dependencies.listener),
        m_announcement(announcement),
        m_last_input(dependencies.clock.Now()),
        m_context(settings,
                  safeguards,
                  announcement.service,
                  dependencies.peer_sender,
                  dependencies.log_writer,
                  random_seed),
        m_follower(dependencies.config_validator,
                   dependencies.snapshot_codec,
                   *this),
        m_lease(settings),
        m_ledger(settings, safeguards, m_last_input),
        m_memory(settings.max_request_ids, settings.max_answer_bytes),
        m_witnessed(settings),
        m_registrar(settings,
                    announcement.service,
                    [this] { return RegistrarContents(); }),
        m_recovery(m_context, m_memory, m_registrar, m_witnessed),
        m_keeper(m_context, m_lease, m_registrar),
        m_takeovers(m_context, m_ledger),
        m_assigner(m_context),
        m_moves(m_context, m_memory, m_recovery, m_registrar, *m_board),
        m_snapshots(m_context, dependencies.snapshot_codec),
        m_drain(m_context, m_moves, m_ledger),
        m_desk(m_context, m_memory, m_registrar, m_recovery, m_moves),
        m_publisher(m_context, *m_board) {
    m_context.SetNow(m_last_input);
    m_context.SetState(m_follower.state());
    if (!safeguards.pending_set_majority) {
      m_lease.CountEarlierSetsToo();
    }
    m_board->PublishLease(Clock::TimePoint::min());
  }

  ~Impl() override { StopServing(); }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  LogOffset NextReadOffset() const { return m_follower.next_read(); }

  void OnLogEntries(const std::vector<LogEntry>& entries) {
    BeginInput();
    if (m_loss.has_value()) {
      return;
    }
    m_context.SetLogAvailable(true);
    m_follower.OnEntries(entries);
    EndInput();
  }

  void OnLogEnd(LogOffset next_offset) {
    BeginInput();
    m_context.SetLogAvailable(true);
    if (next_offset < m_follower.next_read()) {
      NoteError("the log has lost records that this node has read");
    }
    m_follower.OnEnd(next_offset);
    EndInput();
  }

  void OnLogGap(LogOffset first_kept) {
    BeginInput();
    m_follower.OnGap(first_kept);
    EndInput();
  }

  void OnLogUnavailable() {
    BeginInput();
    m_context.SetLogAvailable(false);
  }

  void OnAppendFailed(const RecordId& id) { m_context.appends().OnFailed(id); }

  void OnPeerMessage(const PeerMessage& message) {
    BeginInput();
    const bool is_for_this_life = message.receiver == m_context.self();
    if (m_loss.has_value() || !is_for_this_life) {
      return;
    }
    m_context.health().NoteHeard(message.sender, m_context.now());
    std::visit([this, &message](
                   const auto& content) { Handle(message.sender, content); },
               message.content);
    EndInput();
  }

  void Tick() {
    BeginInput();
    TakeCalls();
    if (m_loss.has_value()) {
      return;
    }
    JoinIfDue();
    m_keeper.Tick();
    for (const LeaseHolder::Renewal& renewal :
         m_lease.DueRenewals(m_context.now())) {
      m_context.Send(renewal.witness, renewal.request);
    }
    if (m_follower.HasCaughtUp()) {
      ActOnState();
    }
    m_memory.ForgetExpired(m_context.now());
    m_witnessed.ForgetExpired(m_context.now());
    EndInput();
  }

  void RequestDrain() {
    BeginInput();
    m_drain.Start();
  }

  const MeshState& state() const { return m_follower.state(); }

  CoordinatorDump Dump() const;

  // LogFollower::Observer:
  void BeforeApply(const LogEntry& entry) override;
  void AfterApply(const LogEntry& entry, const ApplyResult& result) override;
  void OnRestored() override;
  void OnSnapshot(LogOffset taken_at) override {
    m_snapshots.OnSnapshot(taken_at);
  }

 private:
  using Loss = MembershipLoss;

  void BeginInput();
  void EndInput();
  void ActOnState();
  void TakeCalls();
  void JoinIfDue();
  void SendRegistrations();
  void PublishLease();

  // A mesh of one needs no lease; every other owner holds one.
  bool HoldsLease() const { return m_lease.End() > m_context.now(); }
  bool IsReady() const {
    return !m_loss.has_value() && m_follower.HasCaughtUp() &&
           m_context.FindSelf() != nullptr;
  }
  bool IsServing() const { return IsReady() && HoldsLease(); }

  void Handle(const MemberId& sender, const LeaseRequest& request);
  void Handle(const MemberId& sender, const LeaseReply& reply);
  void Handle(const MemberId& sender, const CloseRequest& request);
  void Handle(const MemberId& sender, const CloseReply& reply);
  void Handle(const MemberId& sender, const RegisterIdsRequest& request);
  void Handle(const MemberId& sender, const RegisterIdsReply& reply);
  void Handle(const MemberId& sender, const CollectIdsRequest& request);
  void Handle(const MemberId& sender, const CollectIdsReply& reply);
  void Handle(const MemberId& sender, const HandOffRequest& request);
  void Handle(const MemberId& sender, const HandOffReply& reply);
  void Handle(const MemberId& sender, const DrainNotice& notice);
  void Handle(const MemberId& sender, const LapseNotice& notice);

  void OnAccepted(const LogEntry& entry, const JoinRecord& record);
  void OnAccepted(const LogEntry& entry, const LeaveRecord& record);
  void OnAccepted(const LogEntry& entry, const WitnessSetRecord& record);
  void OnAccepted(const LogEntry& entry, const AssignRecord& record);
  void OnAccepted(const LogEntry& entry, const TransferRecord& record);
  void OnAccepted(const LogEntry& entry, const TakeoverRecord& record);
  void OnAccepted(const LogEntry& entry, const ForgetRecord& record);
  void OnAccepted(const LogEntry& entry, const ConfigRecord& record);
  template <typename OtherRecord>
  void OnAccepted(const LogEntry& /*entry*/, const OtherRecord& /*record*/) {}

  void OnMemberGone(const MemberId& member, Loss loss_if_self);
  void NoteWitnessed(const MemberId& holder, const WitnessSet& set);
  void RestoreHistories();
  void ResolveSettings();
  void Lose(Loss reason);
  void StopServing();
  void NoteError(std::string error);

  IdRegistrar::Contents RegistrarContents() const {
    return {m_memory.AllIds(m_context.now()), m_recovery.ReadyMarkers()};
  }

  const Clock* m_clock;
  const ServiceSettingsResolver* m_settings_resolver;
  OwnershipBoard* m_board;
  NodeCoordinator::Listener* m_listener;
  const JoinRecord m_announcement;
  Clock::TimePoint m_last_input;
  MeshContext m_context;
  LogFollower m_follower;
  LeaseHolder m_lease;
  WitnessLedger m_ledger;
  RequestIdMemory m_memory;
  WitnessedIds m_witnessed;
  IdRegistrar m_registrar;
  RecoveryCollector m_recovery;
  WitnessSetKeeper m_keeper;
  TakeoverCoordinator m_takeovers;
  SlotAssigner m_assigner;
  MoveCoordinator m_moves;
  SnapshotScheduler m_snapshots;
  DrainCoordinator m_drain;
  RegistrationDesk m_desk;
  BoardPublisher m_publisher;

  std::vector<RecordId> m_joins;
  std::optional<Loss> m_loss;
  bool m_loss_told = false;
  std::uint64_t m_clock_jumps = 0;
  std::deque<std::string> m_errors;
  // Noted before a record is applied, used after it.
  RecoveryCollector::SlotEpochs m_epochs_before;
  bool m_service_was_new = false;
  std::optional<Clock::TimePoint> m_published_lease;
};

void NodeCoordinator::Impl::BeginInput() {
  const Clock::TimePoint now = m_clock->Now();
  const Clock::Duration away = now - m_last_input;
  m_last_input = now;
  m_context.SetNow(now);
  const CoordinatorSettings& settings = m_context.settings();
  if (!m_context.safeguards().clock_jump || away <= settings.drift_margin) {
    return;
  }
  // Either this process was paused or its clock jumped; it can't tell which. A
  // witness whose clock ran ahead would declare leases over that still run, so
  // all that it granted starts anew.
  m_ledger.OnClockJump(now);
  m_takeovers.OnClockJump();
  if (away <= settings.pause_threshold) {
    return;
  }
  ++m_clock_jumps;
  m_lease.GiveUp(now);
  PublishLease();
}

void NodeCoordinator::Impl::EndInput() {
  if (!m_loss.has_value()) {
    SendRegistrations();
    PublishLease();
    m_publisher.Publish(IsReady(), m_drain.is_draining(),
                        m_moves.FrozenSlots());
  }
  if (m_loss.has_value() && !m_loss_told) {
    m_loss_told = true;
    m_listener->OnMembershipLost(*m_loss);
  }
}

void NodeCoordinator::Impl::ActOnState() {
  m_takeovers.Tick();
  m_recovery.Tick();
  m_assigner.Tick();
  m_moves.Tick(IsServing(), m_keeper.SafePosition());
  m_snapshots.Tick();
  m_drain.Tick();
  const bool never_joined =
      m_drain.is_draining() && !m_context.self().has_value();
  if (m_drain.HasGivenUp() || never_joined) {
    Lose(Loss::kLeft);
  }
}

void NodeCoordinator::Impl::TakeCalls() {
  const bool is_serving = IsServing();
  for (GuardCall& call : m_board->TakeCalls()) {
    m_desk.Take(std::move(call), is_serving);
  }
}

void NodeCoordinator::Impl::JoinIfDue() {
  const bool is_due = !m_context.self().has_value() &&
                      m_follower.HasCaughtUp() && m_context.log_available() &&
                      !m_drain.is_draining();
  if (!is_due) {
    return;
  }
  if (!m_joins.empty() && m_context.IsAwaited(m_joins.back())) {
    return;
  }
  m_joins.push_back(m_context.Append(m_announcement));
}

void NodeCoordinator::Impl::SendRegistrations() {
  const IdRegistrar::Position safe = m_keeper.SafePosition();
  m_keeper.NoteActedOn(safe);
  m_desk.Complete(safe);
  for (IdRegistrar::Outgoing& message :
       m_registrar.DueMessages(m_context.now())) {
    m_context.Send(message.witness, std::move(message.request));
  }
}

void NodeCoordinator::Impl::PublishLease() {
  const Clock::TimePoint end =
      m_context.FindSelf() == nullptr ? Clock::TimePoint::min() : m_lease.End();
  if (end != m_published_lease) {
    m_published_lease = end;
    m_board->PublishLease(end);
  }
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const LeaseRequest& request) {
  const LeaseReply::Answer answer =
      m_ledger.Grant({sender, request.version}, m_context.now());
  m_context.Send(sender, LeaseReply{request.version, request.sequence, answer});
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const LeaseReply& reply) {
  if (reply.answer == LeaseReply::Answer::kWithheld) {
    m_context.health().NoteDraining(sender, m_context.now());
  }
  m_lease.OnReply(sender, reply, m_context.now());
  m_keeper.Tick();
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const CloseRequest& request) {
  m_takeovers.OnCloseRequest(sender, request);
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const CloseReply& reply) {
  m_takeovers.OnCloseReply(sender, reply);
  m_takeovers.Tick();
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const RegisterIdsRequest& request) {
  const bool stored = m_witnessed.Store(sender, request, m_context.now());
  m_context.Send(sender, RegisterIdsReply{request.sequence, stored});
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const RegisterIdsReply& reply) {
  m_registrar.OnReply(sender, reply, m_context.now());
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const CollectIdsRequest& request) {
  const Clock::TimePoint now = m_context.now();
  m_witnessed.NoteGone(request.lost, now);
  CollectIdsReply reply =
      m_witnessed.Collect(request.lost, request.chunk_index, now);
  reply.collection = request.collection;
  m_context.Send(sender, std::move(reply));
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const CollectIdsReply& reply) {
  MemberId witness = sender;
  if (!m_context.safeguards().witness_incarnation) {
    witness = m_recovery.NamedWitness(reply, sender);
  }
  m_recovery.OnReply(witness, reply);
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const HandOffRequest& request) {
  m_moves.OnHandOffRequest(sender, request);
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const HandOffReply& reply) {
  m_moves.OnHandOffReply(sender, reply);
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const DrainNotice& /*notice*/) {
  m_context.health().NoteDraining(sender, m_context.now());
}

void NodeCoordinator::Impl::Handle(const MemberId& /*sender*/,
                                   const LapseNotice& notice) {
  if (notice.holder != m_context.self()) {
    m_context.health().Suspect(notice.holder, m_context.now());
  }
}

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
  for (const SlotRun& run : record.runs) {
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

void NodeCoordinator::Impl::Lose(Loss reason) {
  if (m_loss.has_value()) {
    return;
  }
  m_loss = reason;
  StopServing();
}

void NodeCoordinator::Impl::StopServing() {
  m_board->PublishLease(Clock::TimePoint::min());
  m_publisher.NoteChange(false);
  m_publisher.Publish(false, m_drain.is_draining(), {});
  m_desk.RefuseAll();
  for (GuardCall& call : m_board->TakeCalls()) {
    m_desk.Take(std::move(call), false);
  }
}

void NodeCoordinator::Impl::NoteError(std::string error) {
  m_errors.push_back(std::move(error));
  if (m_errors.size() > kMaxErrors) {
    m_errors.pop_front();
  }
}

CoordinatorDump NodeCoordinator::Impl::Dump() const {
  const Clock::TimePoint now = m_clock->Now();
  CoordinatorDump dump;
  dump.identity = m_context.self();
  dump.ready = IsReady();
  dump.draining = m_drain.is_draining();
  dump.stopped = m_loss.has_value();
  dump.next_offset = state().next_offset();
  dump.awaited_log_end = m_follower.awaited_end().value_or(LogOffset());
  dump.log_available = m_context.log_available();
  dump.in_log_gap = m_follower.in_gap();
  const Clock::TimePoint end = m_lease.End();
  if (end > now && end != Clock::TimePoint::max()) {
    dump.lease_remaining =
        std::chrono::floor<std::chrono::milliseconds>(end - now);
  }
  dump.counted_witness_set = m_lease.counted_version();
  for (const Member* member : state().CurrentMembers()) {
    dump.current_members.push_back(member->id);
  }
  const Member* self = m_context.FindSelf();
  if (self != nullptr) {
    const auto add_set = [this, &dump, now](const WitnessSet& set,
                                            bool is_pending) {
      for (const Witness& witness : set.witnesses) {
        CoordinatorDump::WitnessView view;
        view.member = witness.member;
        view.in_confirmed_set = !is_pending;
        view.in_pending_set = is_pending;
        const auto granted = m_lease.LastGrant(witness.member);
        if (granted.has_value()) {
          view.since_last_grant =
              std::chrono::floor<std::chrono::milliseconds>(now - *granted);
        }
        dump.witnesses.push_back(std::move(view));
      }
    };
    add_set(self->witnesses, false);
    if (self->pending_witnesses.has_value()) {
      add_set(*self->pending_witnesses, true);
    }
  }
  for (const auto& [id, table] : state().services()) {
    dump.services.push_back(
        {id, table.slot_count(), table.UnownedCount(), table.Runs()});
  }
  dump.moves = m_moves.Dump();
  dump.recoveries = m_recovery.Dump();
  dump.takeovers = m_takeovers.Dump();
  dump.request_ids = m_memory.size();
  dump.request_id_answer_bytes = m_memory.answer_bytes();
  dump.witnessed_ids = m_witnessed.size();
  dump.holders_witnessed = m_ledger.size();
  dump.messages_sent = m_context.messages_sent();
  dump.records_appended = m_context.appends().appended();
  dump.records_rejected = m_context.appends().rejected();
  dump.snapshots_written = m_snapshots.written();
  dump.clock_jumps = m_clock_jumps;
  dump.last_errors.assign(m_errors.begin(), m_errors.end());
  return dump;
}

NodeCoordinator::NodeCoordinator(const Dependencies& dependencies,
                                 const JoinRecord& announcement,
                                 const CoordinatorSettings& settings,
                                 std::uint64_t random_seed,
                                 const Safeguards& safeguards)
    : m_impl(std::make_unique<Impl>(dependencies,
                                    announcement,
                                    settings,
                                    random_seed,
                                    safeguards)) {}

NodeCoordinator::~NodeCoordinator() = default;

LogOffset NodeCoordinator::NextReadOffset() const {
  return m_impl->NextReadOffset();
}

void NodeCoordinator::OnLogEntries(const std::vector<LogEntry>& entries) {
  m_impl->OnLogEntries(entries);
}

void NodeCoordinator::OnLogEnd(LogOffset next_offset) {
  m_impl->OnLogEnd(next_offset);
}

void NodeCoordinator::OnLogGap(LogOffset first_kept) {
  m_impl->OnLogGap(first_kept);
}

void NodeCoordinator::OnLogUnavailable() {
  m_impl->OnLogUnavailable();
}

void NodeCoordinator::OnAppendFailed(const RecordId& id) {
  m_impl->OnAppendFailed(id);
}

void NodeCoordinator::OnPeerMessage(const PeerMessage& message) {
  m_impl->OnPeerMessage(message);
}

void NodeCoordinator::Tick() {
  m_impl->Tick();
}

void NodeCoordinator::RequestDrain() {
  m_impl->RequestDrain();
}

const MeshState& NodeCoordinator::state() const {
  return m_impl->state();
}

CoordinatorDump NodeCoordinator::Dump() const {
  return m_impl->Dump();
}

}  // namespace citrongrade
