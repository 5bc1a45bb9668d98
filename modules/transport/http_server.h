#pragma once

#include <memory>

#include "modules/transport/http_address.h"
#include "modules/transport/http_server_settings.h"

namespace citrongrade {

class HttpHandler;

// An HTTP/1.1 server on one address, by CivetWeb. Serves from construction to
// Stop or destruction; the handler must live as long. Every kept connection
// holds a thread: size HttpServerSettings::thread_count for it. Each server has
// threads of its own, so a burst on one does not delay another.
class HttpServer {
 public:
  // Throws AddressInUseError, HttpServerStartError.
  HttpServer(const HttpServerSettings& settings, HttpHandler& handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Where it listens, with the real port when the settings said 0.
  const HttpAddress& address() const;

  // Stops listening, lets running handlers end, closes idle connections and
  // joins all threads. An idle kept connection takes up to 2 s to close, the
  // library's poll interval.
  void Stop();

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
