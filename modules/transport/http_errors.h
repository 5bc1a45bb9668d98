#pragma once

#include <stdexcept>

namespace citrongrade {

// Base of all failures of HttpServer, HttpExchange and HttpClientConnection.
class HttpError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A text that should be "ip:port" is not.
class InvalidHttpAddressError : public HttpError {
 public:
  using HttpError::HttpError;
};

// The server could not start, for a reason other than its address.
class HttpServerStartError : public HttpError {
 public:
  using HttpError::HttpError;
};

// Another socket listens on the server's address.
class AddressInUseError : public HttpServerStartError {
 public:
  using HttpServerStartError::HttpServerStartError;
};

// No connection could be opened: nothing was sent, so nothing ran.
class ConnectError : public HttpError {
 public:
  using HttpError::HttpError;
};

// Nobody listens at the address: the process that did is gone.
class ConnectRefusedError : public ConnectError {
 public:
  using ConnectError::ConnectError;
};

// The peer closed or reset the connection before the whole message was sent,
// or before any byte of the answer came. The request may have run.
class ConnectionClosedError : public HttpError {
 public:
  using HttpError::HttpError;
};

// No whole response head came within the time-out. The request may have run.
class ResponseTimeoutError : public HttpError {
 public:
  using HttpError::HttpError;
};

// The response head is not HTTP, or does not say where the body ends.
class MalformedResponseError : public HttpError {
 public:
  using HttpError::HttpError;
};

// The body ended, or went silent, before its declared length or last chunk.
class TruncatedBodyError : public HttpError {
 public:
  using HttpError::HttpError;
};

// A whole body was asked for and is longer than the limit given.
class BodyTooLargeError : public HttpError {
 public:
  using HttpError::HttpError;
};

}  // namespace citrongrade
