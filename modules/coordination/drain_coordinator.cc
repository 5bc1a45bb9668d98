#include "modules/coordination/drain_coordinator.h"

#include <algorithm>

#include "modules/coordination/mesh_context.h"
#include "modules/coordination/move_coordinator.h"
#include "modules/coordination/slot_spreader.h"
#include "modules/coordination/witness_ledger.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

namespace {

constexpr std::chrono::seconds kNoticeInterval{1};
// Holders replace a witness within a second or two of the notice, if the log
// answers; those that can't are not waited for.
constexpr std::chrono::seconds kReplacementPatience{5};
constexpr std::chrono::seconds kReceiverPatience{10};

}  // namespace

DrainCoordinator::DrainCoordinator(MeshContext& context,
                                   MoveCoordinator& moves,
                                   WitnessLedger& ledger)
    : m_context(&context), m_moves(&moves), m_ledger(&ledger) {}

void DrainCoordinator::Start() {
  if (!m_started.has_value()) {
    m_started = m_context->now();
    m_moves->StartDraining();
  }
}

void DrainCoordinator::Tick() {
  if (!m_started.has_value() || m_context->FindSelf() == nullptr) {
    return;
  }
  const Clock::TimePoint now = m_context->now();
  if (now >= m_next_notice) {
    m_next_notice = now + kNoticeInterval;
    m_context->Broadcast(DrainNotice{});
  }
  if (m_context->state().OwnsSlots(*m_context->self())) {
    m_empty_since.reset();
    if (HasReceivers()) {
      m_without_receivers_since.reset();
    } else if (!m_without_receivers_since.has_value()) {
      m_without_receivers_since = now;
    }
    return;
  }
  if (!m_empty_since.has_value()) {
    m_empty_since = now;
  }
  if (!IsNamedAsWitness() || now - *m_empty_since >= kReplacementPatience) {
    Leave();
  }
}

bool DrainCoordinator::HasGivenUp() const {
  return m_without_receivers_since.has_value() &&
         m_context->now() - *m_without_receivers_since >= kReceiverPatience;
}

bool DrainCoordinator::IsNamedAsWitness() const {
  const MemberId& self = *m_context->self();
  const auto& members = m_context->state().members();
  return std::any_of(
      members.begin(), members.end(), [&self](const auto& member) {
        const auto& pending = member.second.pending_witnesses;
        return member.second.witnesses.Find(self) != nullptr ||
               (pending.has_value() && pending->Find(self) != nullptr);
      });
}

bool DrainCoordinator::HasReceivers() const {
  const std::vector<SlotSpreader::Receiver> receivers =
      SlotSpreader::ReceiversFor(*m_context, m_context->service());
  return std::any_of(receivers.begin(), receivers.end(),
                     [this](const SlotSpreader::Receiver& receiver) {
                       return receiver.member != m_context->self();
                     });
}

void DrainCoordinator::Leave() {
  // The log counts a member that left as a witness whose grants are over: it
  // grants nothing from here on, and goes when the last grant has run out. Else
  // a holder that still has that grant could be taken over while it serves.
  m_ledger->StopGranting();
  const bool grants_run = m_ledger->LatestGrantEnd() > m_context->now();
  if (grants_run || !m_context->log_available() ||
      m_context->IsAwaited(m_leave)) {
    return;
  }
  m_leave = m_context->Append(LeaveRecord{*m_context->self()});
}

}  // namespace citrongrade
