#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "modules/transport/http_body_length.h"
#include "modules/transport/http_header.h"

namespace citrongrade {

// The head of a message as HttpMessageWriter sends it, request or response.
struct HttpMessageHead {
  // Request line or status line, without its line end.
  std::string first_line;
  std::vector<HttpHeader> headers;
  HttpBodyLength body_length = HttpBodyLength::None();
  // No length header: a GET without a body, a 204.
  bool omits_length = false;
  // The answer to a HEAD: its body is counted, not sent.
  bool discards_body = false;

  friend auto operator<=>(const HttpMessageHead&,
                          const HttpMessageHead&) = default;
};

}  // namespace citrongrade
