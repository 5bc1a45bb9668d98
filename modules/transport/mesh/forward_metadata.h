#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "modules/coordination/load/target_notice.h"
#include "modules/transport/http_request.h"

namespace citrongrade {

// Metadata of a request that one node forwards to the node of a target. Sent as
// the headers Mesh-Work and Mesh-Target, which the receiving node removes.
struct ForwardMetadata {
  std::string request_id;
  std::string service;
  std::optional<std::uint32_t> key;
  bool is_idempotent = false;
  std::uint32_t priority = 0;
  // Name of the route. Requests of one route have similar service times.
  std::string route;
  // Time left until the soft deadline (arrival plus target latency), and until
  // the deadline, after which the caller no longer waits.
  std::chrono::milliseconds soft_time_left{0};
  std::chrono::milliseconds time_left{0};
  std::string origin_service;
  // Id of the forwarding process (drawn at its start), and the send time by its
  // clock.
  std::uint64_t sender_id = 0;
  std::chrono::nanoseconds sent_at{0};
  // What the forwarding node has been told of the target; empty if nothing.
  std::optional<TargetNotice> notice;

  // Replaces such headers of the caller.
  void WriteTo(HttpRequest& request) const;
  // Whether the request carries such metadata.
  static bool IsIn(const HttpRequest& request);
  // Reads and removes the headers. Throws MalformedMessageError.
  static ForwardMetadata ExtractFrom(HttpRequest& request);

  friend auto operator<=>(const ForwardMetadata&,
                          const ForwardMetadata&) = default;
};

}  // namespace citrongrade
