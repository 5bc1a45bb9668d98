#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citrongrade {

// Parts of a path between its slashes; a last empty part is left out.
std::vector<std::string_view> SplitPath(std::string_view path);

// Nothing when a percent sign is not followed by two hex digits.
std::optional<std::string> DecodePercent(std::string_view text);

// The decoded value of a query field; nothing when it is not there, is there
// twice, or can't be decoded.
std::optional<std::string> FindQueryField(std::string_view query,
                                          std::string_view name);

}  // namespace citrongrade
