#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "modules/transport/http_body_length.h"
#include "modules/transport/http_header.h"

namespace citrongrade {

// One request at an HttpServer and the answer to it. Made by the server, used
// by HttpHandler::Handle within that call and by its thread alone. Bodies are
// streamed both ways; Send and ReadWholeBody serve small ones. Not a client:
// see HttpClientConnection.
class HttpExchange {
 public:
  class Implementation;

  explicit HttpExchange(std::unique_ptr<Implementation> implementation);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const std::string& method() const;
  // As the client sent it: percent-encoded, without the query.
  const std::string& path() const;
  // What follows the '?', percent-encoded; empty without one.
  const std::string& query() const;
  // In the order of arrival; at most 64, more are answered 400.
  const std::vector<HttpHeader>& headers() const;
  std::optional<std::string_view> Header(std::string_view name) const;
  // The value of a query field, percent-decoded.
  std::optional<std::string> QueryField(std::string_view name) const;
  // Length of the request's body; None when the head declares none.
  HttpBodyLength body_length() const;
  // "ip:port" of the client.
  std::string remote_address() const;

  // Reads the next bytes of the request's body and returns how many; 0 once
  // the whole body was read. Blocks until the buffer is full or the body ends.
  // Throws TruncatedBodyError if the client stopped short.
  std::size_t ReadBody(std::span<char> buffer);

  // Reads the rest of the body. Throws TruncatedBodyError, BodyTooLargeError.
  std::string ReadWholeBody(std::size_t max_bytes);

  // Sends status line and headers in one write. The length and Connection
  // headers are added; don't pass them. Throws ConnectionClosedError.
  void SendHead(int status,
                std::span<const HttpHeader> headers,
                HttpBodyLength body_length);

  // Sends the next bytes of the body; dropped for HEAD. Throws
  // ConnectionClosedError, and std::logic_error beyond the declared length.
  void SendBody(std::string_view bytes);

  // Ends a chunked body; nothing to do for one with a length.
  void EndBody();

  // Head and whole body, in one write where the body is small.
  void Send(int status,
            std::span<const HttpHeader> headers,
            std::string_view body);

  // Whether SendHead (or Send) was called.
  bool head_sent() const;

  // The connection is closed after this exchange, without reading the rest of
  // the request's body. An answer that is not whole closes it anyway. Without
  // an answer the client sees a connection that closes unanswered.
  void CloseConnection();

  // Called by the server once the handler is done.
  void Finish();

 private:
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
