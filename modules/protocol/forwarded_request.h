#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/coordination/load/work_class.h"
#include "modules/protocol/header_field.h"
#include "modules/state/identifiers.h"
#include "modules/state/request_id_hash.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// A caller's request without its body, as the entry node understood it and as
// it goes to the node that runs it.
struct ForwardedRequest {
  ServiceId service;
  // Id of this attempt, made by the entry node.
  std::string request_id;
  std::string method;
  // Path and query as the caller sent them.
  std::string target;
  std::vector<HeaderField> headers;
  // Empty for a service that is not divided by key.
  std::string key;
  // The slot whose owner runs it. Nothing for an unprotected request to a
  // service that is not divided by key: any member may run it.
  std::optional<SlotIndex> slot;
  bool is_idempotent = false;
  // Set for protected requests: non-idempotent ones that carry an id.
  std::optional<RequestIdHash> protected_id;
  bool is_first_attempt = false;
  std::chrono::milliseconds resend_horizon{0};
  // Time left, from arrival at the node that reads this.
  std::chrono::milliseconds deadline{0};
  // Nothing: in chunks, of a length not known before.
  std::optional<std::uint64_t> body_length = 0;
  bool is_long_work = false;
  std::uint64_t caller_hash = 0;
  // Equal for resends of the same request, also under a new id.
  std::uint64_t fingerprint = 0;
  std::uint8_t attempts_left = 0;

  WorkClass work_class() const {
    return is_long_work ? WorkClass::kLong : WorkClass::kShort;
  }

  friend auto operator<=>(const ForwardedRequest&,
                          const ForwardedRequest&) = default;
};

}  // namespace citrongrade
