#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace citrongrade {

// A string of a distinct type, so that, for example, a node id can't be passed
// where a service name is expected. Not for free text.
template <typename Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : m_value(std::move(value)) {}

  const std::string& value() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  friend auto operator<=>(const StrongString&, const StrongString&) = default;

 private:
  std::string m_value;
};

}  // namespace citrongrade

template <typename Tag>
struct std::hash<citrongrade::StrongString<Tag>> {
  std::size_t operator()(const citrongrade::StrongString<Tag>& text) const {
    return std::hash<std::string>()(text.value());
  }
};
