#pragma once

#include <chrono>
#include <compare>
#include <optional>
#include <string>

#include "modules/state/request_error_code.h"
#include "modules/state/request_outcome.h"
#include "modules/transport/http_response.h"
#include "modules/transport/mesh/forward_timings.h"

namespace citrongrade {

// How one attempt of a request ended: with the target's answer, or not.
struct ForwardResult {
  RequestOutcome outcome = RequestOutcome::kNotRun;
  // Nothing when the target answered.
  std::optional<RequestErrorCode> error;
  std::string message;
  // When another try may do better; zero: not known.
  std::chrono::milliseconds retry_after{0};
  // The request came to a target, whether it ran or not.
  bool reached_target = false;
  // Left of the target's hold on the key when the run began, at the node beside
  // it. A run that takes longer fails at the target.
  std::optional<std::chrono::milliseconds> hold_left;
  ForwardTimings times;
  // The target's, when it answered.
  HttpResponse response;

  bool has_answer() const { return !error.has_value(); }

  static ForwardResult Answered(HttpResponse response);
  // Only where nothing ran and nothing will.
  static ForwardResult NotRun(RequestErrorCode error,
                              std::string message,
                              std::chrono::milliseconds retry_after = {});
  static ForwardResult Unknown(RequestErrorCode error, std::string message);

  // As another node gets it, and back.
  HttpResponse ToHttpResponse() const;
  // Throws MalformedMessageError.
  static ForwardResult FromHttpResponse(HttpResponse response);

  friend auto operator<=>(const ForwardResult&, const ForwardResult&) = default;
};

}  // namespace citrongrade
