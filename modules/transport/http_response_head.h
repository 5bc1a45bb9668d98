#pragma once

#include <compare>
#include <optional>
#include <string_view>
#include <vector>

#include "modules/transport/http_body_length.h"
#include "modules/transport/http_header.h"

namespace citrongrade {

// Status and headers of a response, with the length of the body that follows.
struct HttpResponseHead {
  int status = 0;
  std::vector<HttpHeader> headers;
  HttpBodyLength body_length = HttpBodyLength::None();

  std::optional<std::string_view> Header(std::string_view name) const {
    return FindHeader(headers, name);
  }

  friend auto operator<=>(const HttpResponseHead&,
                          const HttpResponseHead&) = default;
};

}  // namespace citrongrade
