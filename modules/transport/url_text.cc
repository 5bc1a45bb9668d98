#include "modules/transport/url_text.h"

#include <charconv>

namespace citrongrade {

namespace {

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos)
      return parts;
    text.remove_prefix(end + 1);
  }
}

}  // namespace

std::vector<std::string_view> SplitPath(std::string_view path) {
  if (path.starts_with('/'))
    path.remove_prefix(1);
  std::vector<std::string_view> parts = Split(path, '/');
  if (parts.back().empty())
    parts.pop_back();
  return parts;
}

std::optional<std::string> DecodePercent(std::string_view text) {
  constexpr int kHex = 16;
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded.push_back(text[i]);
      continue;
    }
    if (text.size() - i < 3)
      return std::nullopt;
    unsigned byte = 0;
    const char* first = text.data() + i + 1;
    const auto parsed = std::from_chars(first, first + 2, byte, kHex);
    if (parsed.ec != std::errc() || parsed.ptr != first + 2)
      return std::nullopt;
    decoded.push_back(static_cast<char>(byte));
    i += 2;
  }
  return decoded;
}

std::optional<std::string> FindQueryField(std::string_view query,
                                          std::string_view name) {
  std::optional<std::string_view> found;
  for (const std::string_view field : Split(query, '&')) {
    const std::size_t equals = field.find('=');
    if (field.substr(0, equals) != name)
      continue;
    if (found)
      return std::nullopt;
    found = equals == std::string_view::npos ? std::string_view()
                                             : field.substr(equals + 1);
  }
  return found ? DecodePercent(*found) : std::nullopt;
}

}  // namespace citrongrade
