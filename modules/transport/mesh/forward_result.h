#pragma once

#include <chrono>
#include <compare>
#include <optional>
#include <string>

#include "modules/coordination/load/target_notice.h"
#include "modules/state/request_error_code.h"
#include "modules/state/request_outcome.h"
#include "modules/transport/http_response.h"
#include "modules/transport/mesh/forward_timings.h"

namespace citrongrade {

// Result of one attempt to run a request: the target's answer, or why there is
// none.
struct ForwardResult {
  RequestOutcome outcome = RequestOutcome::kNotRun;
  // Not set if the target answered.
  std::optional<RequestErrorCode> error;
  std::string message;
  // Time after which another attempt may succeed; zero if unknown.
  std::chrono::milliseconds retry_after{0};
  // The request reached a target, whether it ran or not.
  bool reached_target = false;
  // Time left of the target's hold on the key when the run began, measured at
  // the target's node. A run that takes longer fails at the target.
  std::optional<std::chrono::milliseconds> hold_left;
  ForwardTimings times;
  // What the node beside the target knows of it; empty if there is nothing to
  // tell.
  std::optional<TargetNotice> notice;
  // The target's answer, if there is one.
  HttpResponse response;

  bool has_answer() const { return !error.has_value(); }

  static ForwardResult Answered(HttpResponse response);
  // Only for a request that hasn't run and won't.
  static ForwardResult NotRun(RequestErrorCode error,
                              std::string message,
                              std::chrono::milliseconds retry_after = {});
  static ForwardResult Unknown(RequestErrorCode error, std::string message);

  // Conversion to and from the response that is sent between nodes.
  HttpResponse ToHttpResponse() const;
  // Throws MalformedMessageError.
  static ForwardResult FromHttpResponse(HttpResponse response);

  friend auto operator<=>(const ForwardResult&, const ForwardResult&) = default;
};

}  // namespace citrongrade
