#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "modules/transport/http_body_length.h"

struct mg_connection;

namespace citrongrade {

// Reads the body of one message from a CivetWeb connection. The library returns
// the same 0 for a body that ended and for a connection that closed or went
// silent, so the bytes are counted here against the declared length; a missing
// last chunk it does report. Shared by HttpExchange and HttpClientConnection.
class HttpBodyReader {
 public:
  HttpBodyReader(mg_connection* connection, HttpBodyLength length)
      : m_connection(connection), m_length(length) {}

  // Throws TruncatedBodyError.
  std::size_t Read(std::span<char> buffer);
  // Throws TruncatedBodyError, BodyTooLargeError.
  std::string ReadWhole(std::size_t max_bytes);

  bool is_complete() const;

 private:
  std::size_t ReadOfLength(std::span<char> buffer);
  std::size_t ReadOfChunks(std::span<char> buffer);

  mg_connection* m_connection;
  HttpBodyLength m_length;
  std::uint64_t m_read = 0;
  bool m_chunks_ended = false;
};

}  // namespace citrongrade
