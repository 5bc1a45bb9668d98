#pragma once

#include <compare>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

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

// Whether the text has at least one character, and only printable ones.
bool IsPrintableAscii(std::string_view text);

// The value of the first header of that name, if there is one.
std::optional<std::string_view> FindHeader(std::span<const HttpHeader> headers,
                                           std::string_view name);

// The same, and takes that header off.
std::optional<std::string> TakeHeader(std::vector<HttpHeader>& headers,
                                      std::string_view name);

// Replaces all headers of that name by one. An empty value only removes them.
void SetHeader(std::vector<HttpHeader>& headers,
               std::string_view name,
               std::string value);

// Whether a header says how its message is sent on one connection, so that what
// is passed on must not bear it.
bool IsHopByHopHeader(std::string_view name);

}  // namespace citrongrade
