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
class MemoryBudget;
class RequestContext;

// An HTTP/1.1 server on one address and one event loop, built on Boost.Beast.
// Keep-alive connections need no thread, and the server notices at once if a
// caller disconnects while its request is being handled.
//
// Callers may pipeline requests. Responses are sent in the order of the
// requests, but requests that may overlap are handled concurrently: a slow
// request delays the next response, but not the handling of the next request.
// Requests and responses are held in memory as a whole; a MemoryBudget bounds
// what the bodies of all requests take together.
//
// See also: HttpServer, which uses threads; AsyncHttpConnection, the client.
class AsyncHttpServer {
 public:
  struct Settings {
    HttpAddress address;
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::uint64_t max_body_bytes = std::uint64_t{8} << 20U;
    // Memory for the bodies of all requests; may be shared between servers and
    // must outlive them. Null: unbounded.
    MemoryBudget* body_budget = nullptr;
    // A keep-alive connection without a request is closed after this time.
    std::chrono::milliseconds idle_timeout{15'000};
    // Time limit for receiving a body, and for writing a response.
    std::chrono::milliseconds read_timeout{10'000};
  };

  class Handler {
   public:
    virtual ~Handler() = default;

    // If it throws, the connection is closed without a response.
    virtual Task<HttpResponse> Handle(HttpRequest request,
                                      RequestContext& context) = 0;
    // Called for a request with "Expect: 100-continue" before its body is read;
    // the caller has sent none of it yet. A returned response rejects the body:
    // it is sent in place of the request's response, and the connection is
    // closed. `permit` is kept until the body has been received or has
    // failed to arrive.
    virtual Task<std::optional<HttpResponse>> AdmitBody(
        HttpRequest /*head*/,
        std::uint64_t /*bytes*/,
        RequestContext& /*context*/,
        std::shared_ptr<void>& /*permit*/) {
      co_return std::nullopt;
    }
    // The response to a request whose body has no room in `body_budget`. The
    // request isn't handled, and its connection is closed.
    virtual HttpResponse RejectForMemory();
    // Whether the request may be handled while earlier requests of its
    // connection are still being handled. Only for idempotent requests: a
    // caller whose connection ends resends everything after the last response.
    virtual bool CanPipeline(const HttpRequest& /*request*/) const {
      return false;
    }
  };

  // `loop`, `clock` and `handler` must outlive the server. Throws
  // AddressInUseError, HttpServerStartError.
  AsyncHttpServer(boost::asio::io_context& loop,
                  const Clock& clock,
                  const Settings& settings,
                  Handler& handler);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  void SetIdleTimeout(std::chrono::milliseconds timeout);
  void SetMaxHeaderBytes(std::size_t bytes);
  void SetMaxBodyBytes(std::uint64_t bytes);

  // From now on, the last pending response of a connection carries "Connection:
  // close", so that its client uses another connection.
  void DisableKeepAlive();

  // Accepts no new connections and closes idle ones. Closes every other
  // connection after its pending responses.
  void Close();

  // Sends `response` to every request whose handling has not ended, and ignores
  // what their handlers return. Returns the number of these requests. Call it
  // after Close(), for requests that would otherwise end without a response.
  std::size_t AnswerPending(const HttpResponse& response);

  // Requests being read or handled.
  std::size_t in_flight() const;
  std::size_t connection_count() const;

 private:
  class Implementation;

  std::shared_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
