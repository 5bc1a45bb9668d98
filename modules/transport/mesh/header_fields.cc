#include "modules/transport/mesh/header_fields.h"

#include <charconv>

namespace citrongrade {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

}  // namespace

std::string PercentEncode(std::string_view text, char separator) {
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool is_plain = c != separator && c != '%' && byte > ' ';
    if (is_plain) {
      out += c;
      continue;
    }
    out += '%';
    out += kHexDigits[byte >> 4U];
    out += kHexDigits[byte & 15U];
  }
  return out;
}

std::string PercentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%' || i + 2 >= text.size()) {
      out += text[i];
      continue;
    }
    unsigned byte = 0;
    std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16);
    out += static_cast<char>(byte);
    i += 2;
  }
  return out;
}

std::vector<std::string_view> SplitFields(std::string_view text,
                                          char separator) {
  std::vector<std::string_view> fields;
  while (true) {
    const std::size_t end = text.find(separator);
    fields.push_back(text.substr(0, end));
    if (end == std::string_view::npos)
      return fields;
    text.remove_prefix(end + 1);
  }
}

}  // namespace citrongrade
