#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace citrongrade {

// A target's small whole answer, kept to answer a resend of the same id.
struct StoredAnswer {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;

  friend auto operator<=>(const StoredAnswer&, const StoredAnswer&) = default;
};

}  // namespace citrongrade
