#pragma once

#include <chrono>
#include <compare>

#include "modules/state/identifiers.h"
#include "modules/state/request_id_hash.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// A non-idempotent request with an id, as its owner's node is about to run it.
struct ProtectedRequest {
  ServiceId service;
  SlotIndex slot;
  RequestIdHash id;
  // The caller states that it never sent this id before.
  bool is_first_attempt = false;
  // How long the id is to be remembered.
  std::chrono::milliseconds resend_horizon{0};

  friend auto operator<=>(const ProtectedRequest&,
                          const ProtectedRequest&) = default;
};

}  // namespace citrongrade
