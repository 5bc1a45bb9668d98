#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "modules/transport/http_request.h"

namespace citrongrade {

// What the node beside a target has to know of a request that another node
// passes on to it. Travels as one header, which it takes off again.
struct ForwardMetadata {
  std::string request_id;
  std::string service;
  std::optional<std::uint32_t> key;
  bool is_idempotent = false;
  std::uint32_t priority = 0;
  // Requests of one kind take about as long as each other.
  std::string route;
  // Left of the time within which an answer is worth most, and of the time
  // after which nobody waits.
  std::chrono::milliseconds soft_time_left{0};
  std::chrono::milliseconds time_left{0};
  std::string origin_service;
  // The node that passes it on (drawn at its start), and when, by its clock.
  std::uint64_t sender_id = 0;
  std::chrono::nanoseconds sent_at{0};

  void WriteTo(HttpRequest& request) const;
  // Takes it off the request. Throws MalformedMessageError.
  static ForwardMetadata ExtractFrom(HttpRequest& request);

  friend auto operator<=>(const ForwardMetadata&,
                          const ForwardMetadata&) = default;
};

}  // namespace citrongrade
