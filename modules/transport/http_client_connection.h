#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <span>
#include <string_view>

#include "modules/transport/http_body_length.h"
#include "modules/transport/http_header.h"
#include "modules/transport/http_request.h"
#include "modules/transport/http_response.h"
#include "modules/transport/http_response_head.h"

namespace citrongrade {

struct HttpAddress;

// One kept HTTP/1.1 client connection, by CivetWeb. One request at a time, by
// one thread at a time: SendHead, SendBody..., EndBody, ReadHead, ReadBody
// until it returns 0; then, if is_reusable(), the next. After any exception the
// connection is not reusable: drop it. Opening one blocks up to 10 s where
// packets vanish (the library's limit). Not a pool: its users keep connections.
class HttpClientConnection {
 public:
  // Throws ConnectError.
  explicit HttpClientConnection(const HttpAddress& address);
  ~HttpClientConnection();
  HttpClientConnection(HttpClientConnection&&) noexcept;
  HttpClientConnection& operator=(HttpClientConnection&&) noexcept;

  // Sends the request line and headers in one write. The Host and length
  // headers are added; don't pass them. `target` is path and query,
  // percent-encoded. Throws ConnectionClosedError.
  void SendHead(std::string_view method,
                std::string_view target,
                std::span<const HttpHeader> headers,
                HttpBodyLength body_length);

  // Sends the next bytes of the body. Throws ConnectionClosedError; the peer
  // may have answered without reading on, so ReadHead may be tried once then.
  // Throws std::logic_error beyond the declared length.
  void SendBody(std::string_view bytes);

  // Ends a chunked body; nothing to do for one with a length.
  void EndBody();

  // Reads the response's head. Throws ResponseTimeoutError,
  // ConnectionClosedError, MalformedResponseError.
  HttpResponseHead ReadHead(std::chrono::milliseconds timeout);

  // Reads the next bytes of the response's body and returns how many; 0 once
  // the whole body was read. Blocks until the buffer is full or the body ends,
  // and gives up after 30 s of waiting for that (the library's limit).
  // Throws TruncatedBodyError.
  std::size_t ReadBody(std::span<char> buffer);

  // Reads the rest of the body. Throws TruncatedBodyError, BodyTooLargeError.
  std::string ReadWholeBody(std::size_t max_bytes);

  // A whole small request and its whole response: all of the above.
  HttpResponse Call(const HttpRequest& request,
                    std::chrono::milliseconds timeout,
                    std::size_t max_response_bytes);

  // The last response was read whole and neither side closes.
  bool is_reusable() const;

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
