#pragma once

#include <memory>
#include <variant>

#include "modules/coordination/protected_request.h"
#include "modules/coordination/request_guard.h"
#include "modules/coordination/stored_answer.h"

namespace citrongrade {

// A call of a request thread that waits for the coordinator's thread.
struct GuardCall {
  struct Register {
    RequestGuard::RegistrationCallback on_registered;
  };
  struct Finish {
    std::shared_ptr<const StoredAnswer> answer;
  };
  struct Withdraw {};

  ProtectedRequest request;
  std::variant<Register, Finish, Withdraw> action;
};

}  // namespace citrongrade
