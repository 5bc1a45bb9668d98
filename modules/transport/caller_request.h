#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/transport/http_header.h"

namespace citrongrade {

// The head of a caller's HTTP request, as it came.
struct CallerRequest {
  std::string method;
  // Percent-encoded, without the query.
  std::string path;
  std::string query;
  std::vector<HttpHeader> headers;
  // Nothing: in chunks.
  std::optional<std::uint64_t> body_length = 0;
  // "ip:port".
  std::string remote_address;

  friend auto operator<=>(const CallerRequest&, const CallerRequest&) = default;
};

}  // namespace citrongrade
