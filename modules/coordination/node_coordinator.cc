#include "modules/coordination/node_coordinator.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "modules/coordination/node_coordinator_impl.h"

namespace citrongrade {

namespace {

constexpr std::size_t kMaxErrors = 16;

}  // namespace

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
