#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "modules/coordination/clock.h"
#include "modules/transport/async/sent_request_ids.h"
#include "modules/transport/async/task.h"
#include "modules/transport/http_address.h"
#include "modules/transport/http_request.h"
#include "modules/transport/http_response.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

class ResponseMemory;

// A keep-alive HTTP/1.1 client connection on the event loop, built on
// Boost.Beast. It carries one call at a time. See also: HttpClientConnection,
// which uses threads; AsyncConnectionPool, which keeps idle connections.
class AsyncHttpConnection {
 public:
  // Returns whether a response belongs to the current request. A peer may send
  // a second response to an earlier request; Call() skips it.
  using IsMatchingResponse = std::function<bool(const HttpResponse&)>;

  // Throws ConnectRefusedError if nothing listens at the address, and
  // ConnectError on any other failure. `response_memory` bounds what responses
  // take while they are received; null: only each by itself is bounded. It must
  // outlive the connection.
  static Task<std::unique_ptr<AsyncHttpConnection>> Open(
      boost::asio::io_context& loop,
      HttpAddress address,
      Clock::Duration timeout,
      ResponseMemory* response_memory = nullptr);

  ~AsyncHttpConnection();
  AsyncHttpConnection(const AsyncHttpConnection&) = delete;
  AsyncHttpConnection& operator=(const AsyncHttpConnection&) = delete;

  // Sends the request and reads the complete response. The peer may respond
  // before it has read the whole body. Throws ResponseTimeoutError,
  // ConnectionClosedError (before the first byte of a response),
  // TruncatedBodyError (after it), BodyTooLargeError (no memory for it) and
  // MalformedResponseError; a call pending at Close() fails the same way. If
  // `timeout` is not positive, nothing is sent and ResponseTimeoutError is
  // thrown.
  Task<HttpResponse> Call(HttpRequest request,
                          Clock::Duration timeout,
                          IsMatchingResponse is_matching_response = nullptr);
  // Like Call(), but sends the body only after the peer has asked for it with
  // 100 Continue. The peer may send its final response instead.
  Task<HttpResponse> CallExpectingContinue(HttpRequest request,
                                           Clock::Duration timeout);

  // Like Call(), for responses that may be long: the first bytes must arrive
  // within `first_timeout`, and each following piece within `progress_timeout`.
  // The duration is thus bounded by progress, not by the length of the
  // response.
  Task<HttpResponse> CallWithProgressTimeout(HttpRequest request,
                                             Clock::Duration first_timeout,
                                             Clock::Duration progress_timeout);

  // Makes a pending call fail at once. The peer sees a connection reset, and
  // bytes still in transit are dropped.
  void Close();

  // Records that the next call carries a request with this id. Calls that carry
  // no id need not be recorded. See SentRequestIds.
  void AddRequestId(std::string_view request_id);
  const SentRequestIds& sent_request_ids() const { return m_sent_request_ids; }

  // True if the last call succeeded, neither side closes the connection, and it
  // may carry further requests.
  bool is_reusable() const;
  // True if the peer has closed the connection or has sent bytes that belong to
  // no request.
  bool IsStale() const;
  // The idle timeout from the peer's Keep-Alive header; zero if there was none.
  Clock::Duration peer_keep_alive() const;

 private:
  class Implementation;

  explicit AsyncHttpConnection(std::shared_ptr<Implementation> implementation);

  std::shared_ptr<Implementation> m_implementation;
  SentRequestIds m_sent_request_ids;
};

}  // namespace citrongrade
