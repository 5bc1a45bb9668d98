#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "modules/coordination/board_publisher.h"
#include "modules/coordination/clock.h"
#include "modules/coordination/drain_coordinator.h"
#include "modules/coordination/id_registrar.h"
#include "modules/coordination/lease_holder.h"
#include "modules/coordination/log_follower.h"
#include "modules/coordination/mesh_context.h"
#include "modules/coordination/messages/peer_message.h"
#include "modules/coordination/move_coordinator.h"
#include "modules/coordination/node_coordinator.h"
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

// What stands behind NodeCoordinator: the parts, and which input goes to which.
// Inputs and the order of acting on them are in node_coordinator.cc, peers'
// messages in node_coordinator_messages.cc, the log's records in
// node_coordinator_records.cc, the dump in node_coordinator_dump.cc.
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

}  // namespace citrongrade
