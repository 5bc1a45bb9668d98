#include "modules/transport/http_header.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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

bool IsPrintableAscii(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char one) {
    return one >= ' ' && one <= '~';
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

std::optional<std::string> TakeHeader(std::vector<HttpHeader>& headers,
                                      std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [name](const HttpHeader& header) {
                                    return SameHeaderName(header.name, name);
                                  });
  if (found == headers.end())
    return std::nullopt;
  std::string value = std::move(found->value);
  headers.erase(found);
  return value;
}

void SetHeader(std::vector<HttpHeader>& headers,
               std::string_view name,
               std::string value) {
  std::erase_if(headers, [name](const HttpHeader& header) {
    return SameHeaderName(header.name, name);
  });
  if (!value.empty())
    headers.push_back({std::string(name), std::move(value)});
}

bool IsHopByHopHeader(std::string_view name) {
  constexpr std::string_view kNames[] = {
      "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "TE",
      "Trailer",    "Upgrade"};
  return std::any_of(
      std::begin(kNames), std::end(kNames),
      [name](std::string_view known) { return SameHeaderName(name, known); });
}

}  // namespace citrongrade
