#pragma once

#include <optional>

#include "modules/transport/http_response.h"

namespace citrongrade {

class HttpExchange;

// Answers the requests of an HttpServer. Called by many threads at once, one
// for each connection; a call may block, and holds up its own connection only.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  // Answers one request: SendHead, then SendBody until the declared length is
  // sent (or EndBody for chunks). The rest of an unread request body is read
  // and dropped afterwards. An exception before SendHead is answered 500; one
  // after it closes the connection, so that the client sees a cut body.
  virtual void Handle(HttpExchange& exchange) = 0;

  // What to answer where the library refuses a request before Handle(): what is
  // not HTTP, or a head too large for it (it doesn't tell which). Nothing: its
  // own bare answer. Either way the connection ends.
  virtual std::optional<HttpResponse> RefuseUnreadable() {
    return std::nullopt;
  }
};

}  // namespace citrongrade
