#pragma once

#include <compare>
#include <string>

#include "modules/transport/http_response_head.h"

namespace citrongrade {

// A whole response with a body that is small enough to hold.
struct HttpResponse {
  HttpResponseHead head;
  std::string body;

  friend auto operator<=>(const HttpResponse&, const HttpResponse&) = default;
};

}  // namespace citrongrade
