#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace citrongrade {

// Keys of a sharded service are numbers from 0 to kKeyCount - 1. They are owned
// and moved in slots of kKeysPerSlot neighbouring keys. Busy keys are often
// neighbours, so slots are narrow: 60 neighbouring hot keys fall into 8 slots,
// which can be spread over 8 targets. Narrower slots cost more: with 2 keys to
// a slot, too many single moves were needed and the table was ten times as
// long.
inline constexpr std::uint32_t kKeyCount = 65'536;
inline constexpr std::uint32_t kKeysPerSlot = 8;
inline constexpr std::uint32_t kSlotCount = kKeyCount / kKeysPerSlot;

// Slots `first` to `last`, both included.
struct SlotRange {
  std::uint32_t first = 0;
  std::uint32_t last = 0;

  constexpr std::uint32_t size() const { return last - first + 1; }
  constexpr bool Contains(std::uint32_t slot) const {
    return first <= slot && slot <= last;
  }
  constexpr bool Contains(const SlotRange& other) const {
    return first <= other.first && other.last <= last;
  }
  constexpr bool Overlaps(const SlotRange& other) const {
    return first <= other.last && other.first <= last;
  }
  // The two ranges must overlap.
  constexpr SlotRange Intersection(const SlotRange& other) const {
    return {std::max(first, other.first), std::min(last, other.last)};
  }
  constexpr std::uint32_t first_key() const { return first * kKeysPerSlot; }
  constexpr std::uint32_t last_key() const {
    return (last + 1) * kKeysPerSlot - 1;
  }

  friend constexpr auto operator<=>(const SlotRange&,
                                    const SlotRange&) = default;
};

constexpr std::uint32_t SlotOfKey(std::uint32_t key) {
  return key / kKeysPerSlot;
}

}  // namespace citrongrade
