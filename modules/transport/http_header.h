#pragma once

#include <compare>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace citrongrade {

// One header line. Names are compared without case by FindHeader, with case by
// the operators.
struct HttpHeader {
  std::string name;
  std::string value;

  friend auto operator<=>(const HttpHeader&, const HttpHeader&) = default;
};

// Whether two header names are the same, whatever their case.
bool SameHeaderName(std::string_view left, std::string_view right);

// The value of the first header of that name, if there is one.
std::optional<std::string_view> FindHeader(std::span<const HttpHeader> headers,
                                           std::string_view name);

}  // namespace citrongrade
