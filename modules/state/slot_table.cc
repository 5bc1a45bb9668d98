#include "modules/state/slot_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace citrongrade {

SlotTable::SlotTable(std::uint32_t slot_count, std::uint64_t hash_seed)
    : m_slot_count(slot_count),
      m_hash_seed(hash_seed),
      m_owner_of_slot(slot_count, kUnowned),
      m_epoch_of_slot(slot_count) {}

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
  return SlotOwnership{m_owners[owner], m_epoch_of_slot[slot.value()]};
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

std::uint32_t SlotTable::CountOf(const MemberId& member) const {
  const OwnerIndex owner = FindOwner(member);
  return owner == kUnowned ? 0 : m_owned_count[owner];
}

std::uint32_t SlotTable::UnownedCount() const {
  return static_cast<std::uint32_t>(
      std::count(m_owner_of_slot.begin(), m_owner_of_slot.end(), kUnowned));
}

bool SlotTable::Contains(const SlotRun& run) const {
  const std::uint64_t end = std::uint64_t{run.first.value()} + run.count;
  return run.count > 0 && end <= m_slot_count;
}

bool SlotTable::IsOwnedBy(const SlotRun& run,
                          const std::optional<MemberId>& owner) const {
  OwnerIndex expected = kUnowned;
  if (owner.has_value()) {
    expected = FindOwner(*owner);
    if (expected == kUnowned) {
      return false;
    }
  }
  const auto begin = m_owner_of_slot.begin() + run.first.value();
  return std::all_of(begin, begin + run.count, [expected](OwnerIndex index) {
    return index == expected;
  });
}

Epoch SlotTable::LatestEpoch(const SlotRun& run) const {
  const auto begin = m_epoch_of_slot.begin() + run.first.value();
  return *std::max_element(begin, begin + run.count);
}

void SlotTable::Give(const SlotRun& run, Epoch epoch) {
  const OwnerIndex owner = FindOrAddOwner(run.owner);
  const std::uint32_t end = run.first.value() + run.count;
  for (std::uint32_t slot = run.first.value(); slot < end; ++slot) {
    const OwnerIndex before = m_owner_of_slot[slot];
    if (before != kUnowned) {
      --m_owned_count[before];
    }
    m_owner_of_slot[slot] = owner;
    m_epoch_of_slot[slot] = epoch;
  }
  m_owned_count[owner] += run.count;
}

void SlotTable::Release(const MemberId& member) {
  const OwnerIndex owner = FindOwner(member);
  if (owner != kUnowned) {
    std::replace(m_owner_of_slot.begin(), m_owner_of_slot.end(), owner,
                 kUnowned);
    m_owned_count[owner] = 0;
  }
}

std::vector<std::pair<SlotRun, Epoch>> SlotTable::Runs() const {
  std::vector<std::pair<SlotRun, Epoch>> runs;
  for (std::uint32_t slot = 0; slot < m_slot_count; ++slot) {
    const OwnerIndex owner = m_owner_of_slot[slot];
    if (owner == kUnowned) {
      continue;
    }
    const Epoch epoch = m_epoch_of_slot[slot];
    if (!runs.empty()) {
      SlotRun& last = runs.back().first;
      const bool follows = last.first.value() + last.count == slot;
      const bool alike =
          last.owner == m_owners[owner] && runs.back().second == epoch;
      if (follows && alike) {
        ++last.count;
        continue;
      }
    }
    runs.emplace_back(SlotRun{SlotIndex(slot), 1, m_owners[owner]}, epoch);
  }
  return runs;
}

SlotTable::OwnerIndex SlotTable::FindOwner(const MemberId& member) const {
  const auto found = std::find(m_owners.begin(), m_owners.end(), member);
  if (found == m_owners.end()) {
    return kUnowned;
  }
  return static_cast<OwnerIndex>(found - m_owners.begin());
}

SlotTable::OwnerIndex SlotTable::FindOrAddOwner(const MemberId& member) {
  const OwnerIndex known = FindOwner(member);
  if (known != kUnowned) {
    return known;
  }
  // An entry that owns nothing any more is taken again, so that the list stays
  // as long as the mesh is wide however many members came and went.
  const auto free = std::find(m_owned_count.begin(), m_owned_count.end(), 0U);
  if (free != m_owned_count.end()) {
    const auto index = static_cast<OwnerIndex>(free - m_owned_count.begin());
    m_owners[index] = member;
    return index;
  }
  m_owners.push_back(member);
  m_owned_count.push_back(0);
  return static_cast<OwnerIndex>(m_owners.size() - 1);
}

}  // namespace citrongrade
