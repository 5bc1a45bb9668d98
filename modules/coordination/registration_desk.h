#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "modules/coordination/clock.h"
#include "modules/coordination/guard_call.h"
#include "modules/coordination/id_registrar.h"
#include "modules/coordination/protected_request.h"
#include "modules/coordination/registration.h"
#include "modules/coordination/request_guard.h"
#include "modules/state/identifiers.h"
#include "modules/state/request_error_code.h"

namespace citrongrade {

class MeshContext;
class MoveCoordinator;
class RecoveryCollector;
class RequestIdMemory;

// Decides for each protected request whether it may run: known ids are answered
// from memory, new ones wait until a majority of the witnesses has them. Each
// call gets exactly one answer, a late one included.
class RegistrationDesk {
 public:
  // All outlive it.
  RegistrationDesk(MeshContext& context,
                   RequestIdMemory& memory,
                   IdRegistrar& registrar,
                   const RecoveryCollector& recovery,
                   const MoveCoordinator& moves);

  // `is_serving`: this member is ready and holds its lease.
  void Take(GuardCall call, bool is_serving);
  // Answers those that are safe by now, and those that waited for too long.
  void Complete(IdRegistrar::Position safe);
  // Answers all that wait: the membership has ended.
  void RefuseAll();

 private:
  struct Waiting {
    ProtectedRequest request;
    RequestGuard::RegistrationCallback on_registered;
    IdRegistrar::Position position = 0;
    // The grant under which it was taken. A slot that went away and came back
    // has a memory that was filled anew, which knows nothing of this call.
    Epoch epoch;
    Clock::TimePoint give_up_at;
  };

  void Register(const ProtectedRequest& request,
                RequestGuard::RegistrationCallback on_registered,
                bool is_serving);
  // Why the request may not run; nothing when it may, once its id is safe.
  std::optional<Registration> FindRefusal(const ProtectedRequest& request,
                                          bool is_serving) const;
  std::optional<Registration> FindKnown(const ProtectedRequest& request) const;
  // Nothing for a slot that this member does not own.
  std::optional<Epoch> EpochOf(SlotIndex slot) const;
  bool Owns(SlotIndex slot) const { return EpochOf(slot).has_value(); }
  void Approve(const Waiting& waiting);
  void Refuse(const Waiting& waiting, RequestErrorCode code);

  MeshContext* m_context;
  RequestIdMemory* m_memory;
  IdRegistrar* m_registrar;
  const RecoveryCollector* m_recovery;
  const MoveCoordinator* m_moves;
  std::deque<Waiting> m_waiting;
};

}  // namespace citrongrade
