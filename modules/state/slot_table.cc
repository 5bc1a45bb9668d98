#include "modules/state/slot_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace citrongrade {

SlotTable::SlotTable(std::uint32_t slot_count, std::uint64_t hash_seed)
    : m_slot_count(slot_count),
      m_hash_seed(hash_seed),
      m_owner_of_slot(slot_count, kUnowned),
      m_epoch_of_slot(slot_count),
      m_unowned_count(slot_count) {}

SlotIndex SlotTable::SlotOf(std::string_view key) const {
  const std::uint64_t hash =
      XXH3_64bits_withSeed(key.data(), key.size(), m_hash_seed);
  return SlotIndex(static_cast<std::uint32_t>(hash % m_slot_count));
}

std::optional<SlotOwnership> SlotTable::OwnerOf(SlotIndex slot) const {
  const OwnerIndex owner = m_owner_of_slot.at(slot.value());
  if (owner == kUnowned) {
    return std::nullopt;
  }
  return SlotOwnership{m_owners[owner].member, m_epoch_of_slot[slot.value()]};
}

std::vector<SlotIndex> SlotTable::SlotsOf(const MemberId& member) const {
  std::vector<SlotIndex> slots;
  const OwnerIndex owner = FindOwner(member);
  if (owner == kUnowned) {
    return slots;
  }
  for (std::uint32_t slot = 0; slot < m_slot_count; ++slot) {
    if (m_owner_of_slot[slot] == owner) {
      slots.emplace_back(slot);
    }
  }
  return slots;
}

std::uint32_t SlotTable::CountOwnedBy(const MemberId& member) const {
  const OwnerIndex owner = FindOwner(member);
  return owner == kUnowned ? 0 : m_owners[owner].slot_count;
}

bool SlotTable::Contains(const OwnedSlotRange& range) const {
  const std::uint64_t end = std::uint64_t{range.first.value()} + range.count;
  return range.count > 0 && end <= m_slot_count;
}

bool SlotTable::IsOwnedBy(const OwnedSlotRange& range,
                          const std::optional<MemberId>& owner) const {
  OwnerIndex expected = kUnowned;
  if (owner.has_value()) {
    expected = FindOwner(*owner);
    if (expected == kUnowned) {
      return false;
    }
  }
  const auto begin = m_owner_of_slot.begin() + range.first.value();
  return std::all_of(begin, begin + range.count, [expected](OwnerIndex index) {
    return index == expected;
  });
}

Epoch SlotTable::LatestEpoch(const OwnedSlotRange& range) const {
  const auto begin = m_epoch_of_slot.begin() + range.first.value();
  return *std::max_element(begin, begin + range.count);
}

void SlotTable::Assign(const OwnedSlotRange& range, Epoch epoch) {
  const OwnerIndex owner = FindOrAddOwner(range.owner);
  const std::uint32_t end = range.first.value() + range.count;
  for (std::uint32_t slot = range.first.value(); slot < end; ++slot) {
    SetOwner(slot, owner);
    m_epoch_of_slot[slot] = epoch;
  }
}

void SlotTable::Release(const MemberId& member) {
  for (const SlotIndex slot : SlotsOf(member)) {
    SetOwner(slot.value(), kUnowned);
  }
}

std::vector<std::pair<OwnedSlotRange, Epoch>> SlotTable::OwnedRanges() const {
  std::vector<std::pair<OwnedSlotRange, Epoch>> ranges;
  for (std::uint32_t slot = 0; slot < m_slot_count; ++slot) {
    const OwnerIndex owner = m_owner_of_slot[slot];
    if (owner == kUnowned) {
      continue;
    }
    const Epoch epoch = m_epoch_of_slot[slot];
    if (!ranges.empty()) {
      OwnedSlotRange& last = ranges.back().first;
      const bool follows = last.first.value() + last.count == slot;
      const bool alike =
          last.owner == m_owners[owner].member && ranges.back().second == epoch;
      if (follows && alike) {
        ++last.count;
        continue;
      }
    }
    ranges.emplace_back(
        OwnedSlotRange{SlotIndex(slot), 1, m_owners[owner].member}, epoch);
  }
  return ranges;
}

SlotTable::OwnerIndex SlotTable::FindOwner(const MemberId& member) const {
  const auto found = m_index_of_owner.find(member);
  return found == m_index_of_owner.end() ? kUnowned : found->second;
}

SlotTable::OwnerIndex SlotTable::FindOrAddOwner(const MemberId& member) {
  const OwnerIndex known = FindOwner(member);
  if (known != kUnowned) {
    return known;
  }
  // Reuse an entry that owns no slots any more, so that the list doesn't grow
  // with the number of members that join and leave over time.
  const auto unused =
      std::find_if(m_owners.begin(), m_owners.end(),
                   [](const Owner& owner) { return owner.slot_count == 0; });
  const auto index = static_cast<OwnerIndex>(unused - m_owners.begin());
  if (unused == m_owners.end()) {
    m_owners.push_back({member});
  } else {
    m_index_of_owner.erase(unused->member);
    unused->member = member;
  }
  m_index_of_owner.emplace(member, index);
  return index;
}

void SlotTable::SetOwner(std::uint32_t slot, OwnerIndex owner) {
  const OwnerIndex before = m_owner_of_slot[slot];
  if (before == kUnowned) {
    --m_unowned_count;
  } else {
    --m_owners[before].slot_count;
  }
  m_owner_of_slot[slot] = owner;
  if (owner == kUnowned) {
    ++m_unowned_count;
  } else {
    ++m_owners[owner].slot_count;
  }
}

}  // namespace citrongrade
