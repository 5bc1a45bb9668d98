#include "modules/transport/mesh/hop_by_hop_headers.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace citrongrade {

namespace {

bool IsListed(const std::vector<std::string>& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [name](const auto& listed) {
    return SameHeaderName(listed, name);
  });
}

// Names listed in the Connection header. The headers with these names are
// hop-by-hop headers as well.
std::vector<std::string> ParseConnectionHeader(
    const std::vector<HttpHeader>& headers) {
  std::vector<std::string> names;
  const auto value = FindHeader(headers, "Connection");
  if (!value)
    return names;
  std::string name;
  for (const char c : *value) {
    if (c == ',') {
      names.push_back(std::move(name));
      name.clear();
    } else if (c != ' ' && c != '\t') {
      name += c;
    }
  }
  names.push_back(std::move(name));
  return names;
}

}  // namespace

void RemoveHopByHopHeaders(std::vector<HttpHeader>& headers) {
  const std::vector<std::string> names = ParseConnectionHeader(headers);
  std::erase_if(headers, [&names](const HttpHeader& header) {
    return IsHopByHopHeader(header.name) || IsListed(names, header.name) ||
           SameHeaderName(header.name, "Proxy-Connection") ||
           SameHeaderName(header.name, "Expect");
  });
}

}  // namespace citrongrade
