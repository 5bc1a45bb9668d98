#pragma once

#include <functional>
#include <memory>

#include "modules/coordination/grant_decision.h"
#include "modules/coordination/protected_request.h"
#include "modules/coordination/registration.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// What an owner's node asks before it gives work to its target. Thread-safe.
//
// Order for a protected request: Register, then any wait, then CheckGrant as
// the very last step before the target's connection is written to, then either
// Finish or Withdraw, then EndWork if CheckGrant granted. Other requests:
// CheckGrant, then EndWork.
class RequestGuard {
 public:
  // Called once, on any thread, without locks held.
  using RegistrationCallback = std::function<void(const Registration&)>;

  virtual ~RequestGuard() = default;

  virtual GrantDecision CheckGrant(const ServiceId& service,
                                   SlotIndex slot) const = 0;

  // Follows each granted CheckGrant once, protected or not, when the target has
  // answered or was given up: a planned move waits for the work in its slot.
  virtual void EndWork(const ServiceId& service, SlotIndex slot) = 0;

  virtual void Register(const ProtectedRequest& request,
                        RegistrationCallback on_registered) = 0;

  // It ran, or may have run. `answer` is null when the outcome is unknown or
  // the answer is too large to keep.
  virtual void Finish(const ProtectedRequest& request,
                      std::shared_ptr<const StoredAnswer> answer) = 0;

  // It was registered but proved not to have run, so that the same id may be
  // tried again.
  virtual void Withdraw(const ProtectedRequest& request) = 0;
};

}  // namespace citrongrade
