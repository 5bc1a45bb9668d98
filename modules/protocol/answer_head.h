#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/protocol/header_field.h"
#include "modules/state/request_error_code.h"
#include "modules/state/request_outcome.h"

namespace citrongrade {

// An answer without its body: the target's own, or the system's refusal.
struct AnswerHead {
  RequestOutcome outcome = RequestOutcome::kDone;
  // Nothing: the target's own answer.
  std::optional<RequestErrorCode> error;
  // For people; of a refusal only.
  std::string message;
  // After this time a resend may do better; 0: it would not.
  std::chrono::milliseconds retry_after{0};
  std::uint16_t status = 0;
  std::vector<HeaderField> headers;
  // Nothing: in chunks, of a length not known before.
  std::optional<std::uint64_t> body_length = 0;

  bool is_refusal() const { return error.has_value(); }

  friend auto operator<=>(const AnswerHead&, const AnswerHead&) = default;
};

}  // namespace citrongrade
