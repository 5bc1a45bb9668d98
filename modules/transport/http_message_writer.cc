#include "modules/transport/http_message_writer.h"

#include <civetweb.h>

#include <cstdio>
#include <stdexcept>
#include <string>
#include <string_view>

#include "modules/transport/http_errors.h"

namespace citrongrade {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// A line break in a value that comes from elsewhere would start a header, or a
// whole message, that nobody meant to send.
void RefuseLineBreaks(std::string_view text) {
  if (text.find_first_of("\r\n") != std::string_view::npos)
    throw std::invalid_argument("line break in an HTTP header");
}

void AppendHeader(std::string& head,
                  std::string_view name,
                  std::string_view value) {
  RefuseLineBreaks(name);
  RefuseLineBreaks(value);
  head.append(name).append(": ").append(value).append(kLineEnd);
}

std::string FormatHead(const HttpMessageHead& head) {
  RefuseLineBreaks(head.first_line);
  std::string bytes(head.first_line);
  bytes.append(kLineEnd);
  for (const HttpHeader& header : head.headers)
    AppendHeader(bytes, header.name, header.value);
  if (head.body_length.is_chunked()) {
    AppendHeader(bytes, "Transfer-Encoding", "chunked");
  } else if (!head.omits_length) {
    AppendHeader(bytes, "Content-Length",
                 std::to_string(*head.body_length.bytes()));
  }
  bytes.append(kLineEnd);
  return bytes;
}

}  // namespace

void HttpMessageWriter::WriteHead(const HttpMessageHead& head,
                                  std::string_view body_start) {
  if (m_head_written)
    throw std::logic_error("the head was sent before");
  m_head_written = true;
  m_body_length = head.body_length;
  m_discards_body = head.discards_body;
  std::string bytes = FormatHead(head);
  CountBody(body_start);
  if (!m_discards_body)
    bytes.append(body_start);
  Write(bytes);
}

void HttpMessageWriter::WriteBody(std::string_view bytes) {
  if (bytes.empty())
    return;
  CountBody(bytes);
  if (m_discards_body)
    return;
  if (!m_body_length.is_chunked()) {
    Write(bytes);
    return;
  }
  char size_line[24];
  const int size_line_length =
      std::snprintf(size_line, sizeof(size_line), "%zx\r\n", bytes.size());
  std::string chunk(size_line, static_cast<std::size_t>(size_line_length));
  chunk.append(bytes).append(kLineEnd);
  Write(chunk);
}

void HttpMessageWriter::EndBody() {
  if (!m_body_length.is_chunked() || m_chunks_ended)
    return;
  if (!m_discards_body)
    Write(kLastChunk);
  m_chunks_ended = true;
}

bool HttpMessageWriter::is_complete() const {
  if (!m_head_written)
    return false;
  return m_body_length.is_chunked() ? m_chunks_ended
                                    : m_body_written == *m_body_length.bytes();
}

void HttpMessageWriter::CountBody(std::string_view bytes) {
  if (!m_head_written)
    throw std::logic_error("a body before its head");
  m_body_written += bytes.size();
  if (!m_body_length.is_chunked() && m_body_written > *m_body_length.bytes())
    throw std::logic_error("a body longer than declared");
  if (m_chunks_ended)
    throw std::logic_error("a chunk after the last one");
}

void HttpMessageWriter::Write(std::string_view bytes) {
  const int written = mg_write(m_connection, bytes.data(), bytes.size());
  if (written != static_cast<int>(bytes.size()))
    throw ConnectionClosedError("the peer closed while a message was sent");
}

}  // namespace citrongrade
