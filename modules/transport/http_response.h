#pragma once

#include <compare>
#include <string>
#include <utility>

#include "modules/transport/http_response_head.h"

namespace citrongrade {

// A whole response with a body that is small enough to hold.
struct HttpResponse {
  HttpResponseHead head;
  std::string body;

  static HttpResponse WithStatus(int status, std::string body = {}) {
    HttpResponse response;
    response.head.status = status;
    response.body = std::move(body);
    return response;
  }

  friend auto operator<=>(const HttpResponse&, const HttpResponse&) = default;
};

}  // namespace citrongrade
