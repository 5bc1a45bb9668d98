#pragma once

#include <compare>
#include <string>
#include <vector>

#include "modules/transport/http_header.h"

namespace citrongrade {

// A whole request with a body that is small enough to hold.
struct HttpRequest {
  std::string method = "GET";
  // Path and query, percent-encoded.
  std::string target = "/";
  std::vector<HttpHeader> headers = {};
  std::string body = {};

  friend auto operator<=>(const HttpRequest&, const HttpRequest&) = default;
};

}  // namespace citrongrade
