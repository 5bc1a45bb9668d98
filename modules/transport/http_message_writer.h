#pragma once

#include <cstdint>
#include <string_view>

#include "modules/transport/http_body_length.h"
#include "modules/transport/http_message_head.h"

struct mg_connection;

namespace citrongrade {

// Writes the head and the body of one message to a CivetWeb connection and
// keeps count of the declared length. Shared by HttpExchange and
// HttpClientConnection; not for other users.
class HttpMessageWriter {
 public:
  explicit HttpMessageWriter(mg_connection* connection)
      : m_connection(connection) {}

  // `body_start` goes out in the same write as the head. Throws
  // ConnectionClosedError, std::invalid_argument for a line break in the head.
  void WriteHead(const HttpMessageHead& head, std::string_view body_start = {});
  // Throws ConnectionClosedError, std::logic_error.
  void WriteBody(std::string_view bytes);
  void EndBody();

  bool head_written() const { return m_head_written; }
  // The whole declared body was written.
  bool is_complete() const;

 private:
  void CountBody(std::string_view bytes);
  void Write(std::string_view bytes);

  mg_connection* m_connection;
  HttpBodyLength m_body_length = HttpBodyLength::None();
  std::uint64_t m_body_written = 0;
  bool m_discards_body = false;
  bool m_head_written = false;
  bool m_chunks_ended = false;
};

}  // namespace citrongrade
