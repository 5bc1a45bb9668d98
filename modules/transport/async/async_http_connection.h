#pragma once

#include <functional>
#include <memory>

#include "modules/coordination/clock.h"
#include "modules/transport/async/task.h"
#include "modules/transport/http_address.h"
#include "modules/transport/http_request.h"
#include "modules/transport/http_response.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

// One kept HTTP/1.1 client connection on the event loop, by Boost.Beast. One
// call at a time. Kin: HttpClientConnection, by threads; AsyncConnectionPool
// keeps them.
class AsyncHttpConnection {
 public:
  // Whether a response is the answer to the request in hand. A peer may send a
  // second answer to an earlier request; that one is skipped.
  using IsMatchingResponse = std::function<bool(const HttpResponse&)>;

  // Throws ConnectRefusedError when nobody listens there, else ConnectError.
  static Task<std::unique_ptr<AsyncHttpConnection>> Open(
      boost::asio::io_context& loop,
      HttpAddress address,
      Clock::Duration timeout);

  ~AsyncHttpConnection();
  AsyncHttpConnection(const AsyncHttpConnection&) = delete;
  AsyncHttpConnection& operator=(const AsyncHttpConnection&) = delete;

  // Sends the request and reads its answer whole. The peer may answer before it
  // has read the whole body. Throws ResponseTimeoutError,
  // ConnectionClosedError (before any byte of an answer), TruncatedBodyError
  // (after some), MalformedResponseError; also after Close(). With no time
  // left nothing is sent.
  Task<HttpResponse> Call(HttpRequest request,
                          Clock::Duration timeout,
                          IsMatchingResponse is_answer = nullptr);
  // The same, but the body is sent only when the peer asks for it; it may
  // answer instead.
  Task<HttpResponse> CallExpectingContinue(HttpRequest request,
                                           Clock::Duration timeout);

  // The same for an answer that may be long: its first bytes have to come
  // within `first_timeout`, each next ones within `next_timeout`. So the time
  // it takes is bounded by whether it moves on, not by its length.
  Task<HttpResponse> CallWithProgressTimeout(HttpRequest request,
                                             Clock::Duration first_timeout,
                                             Clock::Duration next_timeout);

  // Makes a call that waits fail at once: the peer sees its connection reset,
  // and what is still on its way does not arrive.
  void Close();

  // The last call ended well and neither side closes.
  bool is_reusable() const;
  // The peer closed it, or sent what nobody asked for.
  bool IsStale() const;
  // How long the peer said to keep it open when idle; zero: it said nothing.
  Clock::Duration peer_keep_alive() const;

 private:
  class Implementation;

  explicit AsyncHttpConnection(std::shared_ptr<Implementation> implementation);

  std::shared_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
