#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "modules/transport/async/task.h"
#include "modules/transport/http_address.h"
#include "modules/transport/http_request.h"
#include "modules/transport/http_response.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

class Clock;
class RequestContext;

// An HTTP/1.1 server on one address and one event loop, by Boost.Beast. Kept
// connections cost no thread, and a caller that goes while its request is
// served is noticed at once. Callers may send requests ahead: answers go out in
// the order of the requests, and those that may overlap are served at the same
// time, so that a slow one makes the next late but not later. Requests and
// answers are held whole: for bodies of some megabytes at most. Kin:
// HttpServer, by threads; AsyncHttpConnection, the client.
class AsyncHttpServer {
 public:
  struct Settings {
    HttpAddress address;
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::uint64_t max_body_bytes = std::uint64_t{8} << 20U;
    // A kept connection without a request is closed after this.
    std::chrono::milliseconds idle_timeout{15'000};
    // A body has to come within this.
    std::chrono::milliseconds read_timeout{10'000};
  };

  class Handler {
   public:
    virtual ~Handler() = default;

    // What it throws closes the connection without an answer.
    virtual Task<HttpResponse> Handle(HttpRequest request,
                                      RequestContext& context) = 0;
    // Before the body of a request that asks for it ("Expect: 100-continue") is
    // read; none of it has been sent yet. An answer refuses it, is given in
    // place of the request's, and ends the connection. `place` is kept until
    // the body has come, or won't.
    virtual Task<std::optional<HttpResponse>> AdmitBody(
        HttpRequest /*head*/,
        std::uint64_t /*bytes*/,
        RequestContext& /*context*/,
        std::shared_ptr<void>& /*place*/) {
      co_return std::nullopt;
    }
    // Whether it may be started while earlier requests of its connection are
    // still being served. Only for idempotent ones: a caller whose connection
    // ends sends again what it sent behind the last answer.
    virtual bool CanPipeline(const HttpRequest& /*request*/) const {
      return false;
    }
  };

  // Throws AddressInUseError, HttpServerStartError. All outlive the server.
  AsyncHttpServer(boost::asio::io_context& loop,
                  const Clock& clock,
                  const Settings& settings,
                  Handler& handler);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  void SetIdleTimeout(std::chrono::milliseconds timeout);
  void SetMaxHeaderBytes(std::size_t bytes);

  // Every answer from now on asks its client to use another connection.
  void DisableKeepAlive();

  // Takes no new connection, closes idle ones, and each other one after the
  // answer that it waits for.
  void Close();

  // Requests being read or served.
  std::size_t in_flight() const;
  std::size_t connection_count() const;

 private:
  class Implementation;

  std::shared_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
