#include "modules/transport/http_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>
#include <string_view>
#include <system_error>

#include "modules/transport/http_errors.h"

namespace citrongrade {

namespace {

bool IsIpv4Number(const std::string& text) {
  in_addr parsed = {};
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

}  // namespace

HttpAddress HttpAddress::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    throw InvalidHttpAddressError(std::string(text) + " is not ip:port");
  HttpAddress address;
  address.ip = std::string(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc() || end != port.data() + port.size() ||
      !IsIpv4Number(address.ip)) {
    throw InvalidHttpAddressError(std::string(text) + " is not ip:port");
  }
  return address;
}

std::string HttpAddress::ToString() const {
  return ip + ":" + std::to_string(port);
}

}  // namespace citrongrade
