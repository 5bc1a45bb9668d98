#pragma once

#include <string>
#include <vector>

#include "modules/transport/http_header.h"

namespace citrongrade {

// Returns the header fields of a Boost.Beast message.
template <typename Fields>
std::vector<HttpHeader> HeadersOf(const Fields& fields) {
  std::vector<HttpHeader> headers;
  for (const auto& field : fields)
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  return headers;
}

template <typename Fields>
void AddHeaders(const std::vector<HttpHeader>& headers, Fields& fields) {
  for (const HttpHeader& header : headers)
    fields.insert(header.name, header.value);
}

}  // namespace citrongrade
