#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace citrongrade {

// Where an HTTP server listens: an IPv4 number and a port. Names are not
// resolved.
struct HttpAddress {
  std::string ip;
  std::uint16_t port = 0;

  // Reads "ip:port". Throws InvalidHttpAddressError.
  static HttpAddress Parse(std::string_view text);

  // "ip:port".
  std::string ToString() const;

  friend auto operator<=>(const HttpAddress&, const HttpAddress&) = default;
};

}  // namespace citrongrade
