#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "modules/coordination/load/target_signals.h"
#include "modules/coordination/mesh/push_hold_tracker.h"
#include "modules/transport/http_request.h"
#include "modules/transport/http_response.h"

namespace citrongrade {

// What a caller's request states in the headers of its protocol.
struct CallerRequestInfo {
  // Identifies one attempt; each retry by the caller has its own.
  std::string request_id;
  // How long the caller waits, from the arrival of the request.
  std::optional<std::chrono::milliseconds> deadline;
  // For services sharded by key.
  std::optional<std::uint32_t> key;
  std::string host;
  // Without the query string.
  std::string path;

  friend auto operator<=>(const CallerRequestInfo&,
                          const CallerRequestInfo&) = default;
};

// What a request to a target has to state beside its content.
struct TargetRequestInfo {
  std::string request_id;
  std::chrono::milliseconds time_left{0};
  // A target with another id at the same address must refuse the request.
  std::string expected_target;
  // Service of the target at the node that received the request.
  std::string origin_service;

  friend auto operator<=>(const TargetRequestInfo&,
                          const TargetRequestInfo&) = default;
};

// What a target's response states.
struct TargetResponseInfo {
  // Empty if the response has none.
  std::string request_id;
  // The response proves that the request did not run and will not run.
  bool did_not_run = false;
  // The target does not hold the key, or is not the expected target.
  bool is_misdirected = false;
  // The response may be passed on to the caller as the target's own.
  bool is_authentic = false;

  friend auto operator<=>(const TargetResponseInfo&,
                          const TargetResponseInfo&) = default;
};

// Translates between the platform's HTTP messages and the types of this module.
// Implementations are stateless; each platform has one.
class WireProtocol {
 public:
  virtual ~WireProtocol() = default;

  virtual CallerRequestInfo ReadCallerRequest(
      const HttpRequest& request) const = 0;
  // Returns the request as it is sent to the target.
  virtual HttpRequest MakeTargetRequest(
      HttpRequest request,
      const TargetRequestInfo& info) const = 0;
  virtual TargetResponseInfo ReadTargetResponse(
      const HttpResponse& response) const = 0;

  // What any response of the target states of the target itself, also one to a
  // grant or a release.
  virtual TargetSignals ReadTargetSignals(
      const HttpResponse& response) const = 0;

  // `target_id`: any other target refuses the grant as misdirected.
  virtual HttpRequest MakeGrantRequest(const PushHoldTracker::Grant& grant,
                                       const std::string& target_id) const = 0;
  virtual HttpRequest MakeReleaseRequest(
      const PushHoldTracker::Release& release) const = 0;
  // Returns false for a response to a caller's request: a target may send a
  // late second response where the response to a grant or release is due.
  virtual bool IsCommandResponse(const HttpResponse& response) const = 0;
  // Returns the handover data in a target's response to a release.
  virtual std::string ReadHandover(const HttpResponse& response) const = 0;
};

}  // namespace citrongrade
