#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace citrongrade {

// Texts as fields of one header value between nodes, with a separator between
// them.

// Encodes the separator, '%' and control characters as %XX.
std::string PercentEncode(std::string_view text, char separator);
std::string PercentDecode(std::string_view text);

// The fields point into `text`.
std::vector<std::string_view> SplitFields(std::string_view text,
                                          char separator);

}  // namespace citrongrade
