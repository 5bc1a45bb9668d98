#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace citrongrade {

// Keys of a divided service are numbers from 0 to kKeyCount - 1. What is owned
// and moved are slots: runs of kKeysPerSlot neighbouring keys. Busy keys lie
// side by side, so slots are narrow: 60 hot neighbours fall into 8 slots, which
// as many targets can share. Narrower ones cost more: 2 keys to a slot made
// single moves too many and the table ten times as long.
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
  // The caller must know that the two overlap.
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
