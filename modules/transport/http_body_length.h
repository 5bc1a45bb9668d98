#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace citrongrade {

// How a message says where its body ends: by a Content-Length, or by chunks.
class HttpBodyLength {
 public:
  static constexpr HttpBodyLength Exactly(std::uint64_t bytes) {
    return HttpBodyLength(bytes);
  }
  static constexpr HttpBodyLength Chunked() {
    return HttpBodyLength(std::nullopt);
  }
  static constexpr HttpBodyLength None() { return Exactly(0); }

  constexpr bool is_chunked() const { return !m_bytes.has_value(); }
  // The Content-Length; nothing for a chunked body.
  constexpr std::optional<std::uint64_t> bytes() const { return m_bytes; }

  friend constexpr auto operator<=>(const HttpBodyLength&,
                                    const HttpBodyLength&) = default;

 private:
  explicit constexpr HttpBodyLength(std::optional<std::uint64_t> bytes)
      : m_bytes(bytes) {}

  std::optional<std::uint64_t> m_bytes;
};

}  // namespace citrongrade
