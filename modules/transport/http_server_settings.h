#pragma once

#include <chrono>
#include <compare>
#include <cstddef>

#include "modules/transport/http_address.h"

namespace citrongrade {

// How an HttpServer listens. The defaults suit a small control address.
struct HttpServerSettings {
  // Port 0 takes a free one; see HttpServer::address().
  HttpAddress address;
  // A connection that is kept open holds one thread also while idle, so this is
  // also the number of connections that are served at once. All threads are
  // started at once.
  unsigned thread_count = 16;
  // Accepted connections that wait for a thread.
  unsigned connection_queue_size = 64;
  // Request line and headers together; a longer head is answered 413 or 431.
  std::size_t max_header_bytes = 16384;
  bool keep_alive = true;
  // How long an idle kept connection stays. Longer than clients keep theirs,
  // so that it is the client who closes: a request that meets a close on its
  // way can't be told from one that ran.
  std::chrono::milliseconds keep_alive_timeout = std::chrono::minutes(5);
  // Longest silence while a request's head or body arrives, or while an answer
  // can't be sent on.
  std::chrono::milliseconds request_timeout = std::chrono::seconds(30);
  bool tcp_nodelay = true;

  friend auto operator<=>(const HttpServerSettings&,
                          const HttpServerSettings&) = default;
};

}  // namespace citrongrade
