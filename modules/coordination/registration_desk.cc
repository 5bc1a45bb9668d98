#include "modules/coordination/registration_desk.h"

#include <utility>
#include <variant>

#include "modules/coordination/mesh_context.h"
#include "modules/coordination/move_coordinator.h"
#include "modules/coordination/recovery_collector.h"
#include "modules/coordination/request_id_memory.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

RegistrationDesk::RegistrationDesk(MeshContext& context,
                                   RequestIdMemory& memory,
                                   IdRegistrar& registrar,
                                   const RecoveryCollector& recovery,
                                   const MoveCoordinator& moves)
    : m_context(&context),
      m_memory(&memory),
      m_registrar(&registrar),
      m_recovery(&recovery),
      m_moves(&moves) {}

void RegistrationDesk::Take(GuardCall call, bool is_serving) {
  if (auto* registration = std::get_if<GuardCall::Register>(&call.action)) {
    Register(call.request, std::move(registration->on_registered), is_serving);
    return;
  }
  if (auto* finish = std::get_if<GuardCall::Finish>(&call.action)) {
    if (Owns(call.request.slot)) {
      m_memory->Finish(call.request, std::move(finish->answer),
                       m_context->now());
    }
    return;
  }
  // Only what this owner let run can be withdrawn; an id that came from another
  // owner may have run there.
  if (m_memory->StatusOf(call.request.slot, call.request.id) ==
      RequestIdMemory::Status::kRunning) {
    m_memory->Withdraw(call.request.slot, call.request.id);
  }
}

void RegistrationDesk::Register(
    const ProtectedRequest& request,
    RequestGuard::RegistrationCallback on_registered,
    bool is_serving) {
  const std::optional<Registration> refusal = FindRefusal(request, is_serving);
  if (refusal.has_value()) {
    on_registered(*refusal);
    return;
  }
  const Clock::TimePoint now = m_context->now();
  m_memory->Add(request, now);
  const IdRegistrar::Position position = m_registrar->Add(
      RegisteredId{request.slot, request.id, {}, request.resend_horizon}, now);
  m_waiting.push_back({request, std::move(on_registered), position,
                       *EpochOf(request.slot),
                       now + m_context->settings().registration_patience});
}

std::optional<Registration> RegistrationDesk::FindRefusal(
    const ProtectedRequest& request,
    bool is_serving) const {
  const auto refuse = [](RequestErrorCode code) {
    return Registration{code, nullptr};
  };
  if (!is_serving || m_moves->IsFrozen(request.slot)) {
    return refuse(RequestErrorCode::kLeaseLost);
  }
  if (request.service != m_context->service() || !Owns(request.slot)) {
    return refuse(RequestErrorCode::kNoOwner);
  }
  std::optional<Registration> known = FindKnown(request);
  if (known.has_value()) {
    return known;
  }
  const SlotHistory* history = m_recovery->Find(request.slot);
  const bool is_whole =
      history != nullptr && history->state == SlotHistory::State::kReady;
  // A caller that never sent the id before can't have made it run.
  if (!is_whole && !request.is_first_attempt) {
    const bool recovering =
        history != nullptr && history->state == SlotHistory::State::kRecovering;
    return refuse(recovering ? RequestErrorCode::kRecovering
                             : RequestErrorCode::kHistoryLost);
  }
  if (m_memory->IsFull()) {
    return refuse(RequestErrorCode::kRequestMemoryFull);
  }
  return std::nullopt;
}

std::optional<Registration> RegistrationDesk::FindKnown(
    const ProtectedRequest& request) const {
  switch (m_memory->StatusOf(request.slot, request.id)) {
    case RequestIdMemory::Status::kUnknown:
      return std::nullopt;
    case RequestIdMemory::Status::kRegistering:
    case RequestIdMemory::Status::kRunning:
      return Registration{RequestErrorCode::kInProgress, nullptr};
    case RequestIdMemory::Status::kFinished:
      break;
  }
  return Registration{RequestErrorCode::kAlreadyRun,
                      m_memory->AnswerOf(request.slot, request.id)};
}

std::optional<Epoch> RegistrationDesk::EpochOf(SlotIndex slot) const {
  const SlotTable* table = m_context->state().FindSlots(m_context->service());
  if (table == nullptr || slot.value() >= table->slot_count()) {
    return std::nullopt;
  }
  const auto ownership = table->OwnerOf(slot);
  if (!ownership.has_value() || ownership->owner != m_context->self()) {
    return std::nullopt;
  }
  return ownership->epoch;
}

void RegistrationDesk::Complete(IdRegistrar::Position safe) {
  while (!m_waiting.empty()) {
    const Waiting& first = m_waiting.front();
    const bool is_safe = first.position <= safe;
    const bool is_late = m_context->now() >= first.give_up_at;
    if (!is_safe && !is_late) {
      return;
    }
    const Waiting waiting = std::move(m_waiting.front());
    m_waiting.pop_front();
    if (is_safe) {
      Approve(waiting);
    } else {
      Refuse(waiting, m_registrar->IsRefused()
                          ? RequestErrorCode::kRequestMemoryFull
                          : RequestErrorCode::kLeaseLost);
    }
  }
}

void RegistrationDesk::Approve(const Waiting& waiting) {
  const SlotIndex slot = waiting.request.slot;
  if (EpochOf(slot) != waiting.epoch || m_moves->IsFrozen(slot)) {
    Refuse(waiting, RequestErrorCode::kLeaseLost);
    return;
  }
  m_memory->SetRunning(slot, waiting.request.id);
  waiting.on_registered(Registration());
}

void RegistrationDesk::Refuse(const Waiting& waiting, RequestErrorCode code) {
  if (EpochOf(waiting.request.slot) == waiting.epoch) {
    m_memory->Withdraw(waiting.request.slot, waiting.request.id);
  }
  waiting.on_registered(Registration{code, nullptr});
}

void RegistrationDesk::RefuseAll() {
  while (!m_waiting.empty()) {
    const Waiting waiting = std::move(m_waiting.front());
    m_waiting.pop_front();
    Refuse(waiting, RequestErrorCode::kLeaseLost);
  }
}

}  // namespace citrongrade
