#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "modules/coordination/mesh/push_hold_tracker.h"
#include "modules/transport/http_request.h"
#include "modules/transport/http_response.h"

namespace citrongrade {

// What a caller says of its request in the words of its protocol.
struct CallerRequestInfo {
  // Of one attempt; each retry by the caller has its own.
  std::string request_id;
  // How long the caller waits.
  std::optional<std::chrono::milliseconds> deadline;
  // For a service divided by key.
  std::optional<std::uint32_t> key;
  std::string host;
  // Without the query.
  std::string path;

  friend auto operator<=>(const CallerRequestInfo&,
                          const CallerRequestInfo&) = default;
};

// What a target has to be told beside the request itself.
struct TargetRequestInfo {
  std::string request_id;
  std::chrono::milliseconds time_left{0};
  // Another target at its address is to refuse the request.
  std::string expected_target;
  // The service of the host where the request began.
  std::string origin_service;

  friend auto operator<=>(const TargetRequestInfo&,
                          const TargetRequestInfo&) = default;
};

// What a target's answer says.
struct TargetResponseInfo {
  // Empty when it names none.
  std::string request_id;
  // It proves that the request did not run and will not.
  bool did_not_run = false;
  // The target does not hold the key, or is not the expected one.
  bool is_misdirected = false;
  // Fit to be given to a caller as the target's own answer.
  bool is_authentic = false;

  friend auto operator<=>(const TargetResponseInfo&,
                          const TargetResponseInfo&) = default;
};

// The words in which callers and targets speak, for the code that serves them.
// Pure: it only translates. Implemented for each platform.
class WireProtocol {
 public:
  virtual ~WireProtocol() = default;

  virtual CallerRequestInfo ReadCallerRequest(
      const HttpRequest& request) const = 0;
  // The request as the target gets it.
  virtual HttpRequest MakeTargetRequest(
      HttpRequest request,
      const TargetRequestInfo& addressing) const = 0;
  virtual TargetResponseInfo ReadTargetResponse(
      const HttpResponse& response) const = 0;

  virtual HttpRequest MakeGrantRequest(
      const PushHoldTracker::Grant& grant) const = 0;
  virtual HttpRequest MakeReleaseRequest(
      const PushHoldTracker::Release& release) const = 0;
  // False for the answer to a request: a target may send a second one, late,
  // where the answer to an order is due.
  virtual bool IsCommandResponse(const HttpResponse& response) const = 0;
  // What the last holder hands over, in the answer to a release.
  virtual std::string ReadHandover(const HttpResponse& response) const = 0;
};

}  // namespace citrongrade
