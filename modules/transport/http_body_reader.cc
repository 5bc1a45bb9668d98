#include "modules/transport/http_body_reader.h"

#include <civetweb.h>

#include <algorithm>
#include <span>
#include <string>
#include <vector>

#include "modules/transport/http_errors.h"

namespace citrongrade {

namespace {

constexpr std::size_t kWholeBodyStep = 16384;
// The library counts in int.
constexpr std::size_t kMaxReadStep = 1 << 20;

}  // namespace

std::size_t HttpBodyReader::Read(std::span<char> buffer) {
  if (buffer.empty() || is_complete())
    return 0;
  buffer = buffer.first(std::min(buffer.size(), kMaxReadStep));
  return m_length.is_chunked() ? ReadOfChunks(buffer) : ReadOfLength(buffer);
}

std::string HttpBodyReader::ReadWhole(std::size_t max_bytes) {
  std::string body;
  std::vector<char> buffer(kWholeBodyStep);
  while (const std::size_t count = Read(buffer)) {
    if (body.size() + count > max_bytes)
      throw BodyTooLargeError("the body is longer than its limit");
    body.append(buffer.data(), count);
  }
  return body;
}

bool HttpBodyReader::is_complete() const {
  return m_length.is_chunked() ? m_chunks_ended : m_read == *m_length.bytes();
}

std::size_t HttpBodyReader::ReadOfLength(std::span<char> buffer) {
  const std::uint64_t left = *m_length.bytes() - m_read;
  const std::size_t wanted =
      static_cast<std::size_t>(std::min<std::uint64_t>(left, buffer.size()));
  const int count = mg_read(m_connection, buffer.data(), wanted);
  if (count <= 0)
    throw TruncatedBodyError("the body ended before its Content-Length");
  m_read += static_cast<std::uint64_t>(count);
  return static_cast<std::size_t>(count);
}

std::size_t HttpBodyReader::ReadOfChunks(std::span<char> buffer) {
  const int count = mg_read(m_connection, buffer.data(), buffer.size());
  if (count < 0)
    throw TruncatedBodyError("the body ended before its last chunk");
  m_chunks_ended = count == 0;
  m_read += static_cast<std::uint64_t>(count);
  return static_cast<std::size_t>(count);
}

}  // namespace citrongrade
