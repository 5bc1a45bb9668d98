#include "modules/transport/http_header.h"

#include <algorithm>
#include <optional>
#include <span>
#include <string_view>

namespace citrongrade {

namespace {

char ToLowerAscii(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a')
                                        : letter;
}

}  // namespace

bool SameHeaderName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char one, char other) {
                      return ToLowerAscii(one) == ToLowerAscii(other);
                    });
}

std::optional<std::string_view> FindHeader(std::span<const HttpHeader> headers,
                                           std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (SameHeaderName(header.name, name))
      return header.value;
  }
  return std::nullopt;
}

}  // namespace citrongrade
