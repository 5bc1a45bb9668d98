#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace citrongrade {

// An unsigned integer of a distinct type, so that, for example, a log offset
// can't be passed where a slot is expected. See also StrongString.
template <typename Tag, typename Integer = std::uint64_t>
class StrongInteger {
 public:
  constexpr StrongInteger() = default;
  explicit constexpr StrongInteger(Integer value) : m_value(value) {}

  constexpr Integer value() const { return m_value; }
  constexpr StrongInteger Next() const {
    return StrongInteger(static_cast<Integer>(m_value + 1));
  }

  friend constexpr auto operator<=>(const StrongInteger&,
                                    const StrongInteger&) = default;

 private:
  Integer m_value = 0;
};

}  // namespace citrongrade

template <typename Tag, typename Integer>
struct std::hash<citrongrade::StrongInteger<Tag, Integer>> {
  std::size_t operator()(
      const citrongrade::StrongInteger<Tag, Integer>& number) const {
    return std::hash<Integer>()(number.value());
  }
};
