#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"
#include "modules/state/owned_slot_range.h"
#include "modules/state/slot_ownership.h"

namespace citrongrade {

// The slots of one service and their owners. State is kept per slot, never per
// key: 12 bytes a slot, regardless of the number of keys.
class SlotTable {
 public:
  SlotTable(std::uint32_t slot_count, std::uint64_t hash_seed);

  std::uint32_t slot_count() const { return m_slot_count; }
  std::uint64_t hash_seed() const { return m_hash_seed; }

  // Slot of a key, by XXH3 with the service's seed.
  SlotIndex SlotOf(std::string_view key) const;

  // Nullopt for a slot without an owner.
  std::optional<SlotOwnership> OwnerOf(SlotIndex slot) const;

  // Slots of one member in ascending order.
  std::vector<SlotIndex> SlotsOf(const MemberId& member) const;
  std::uint32_t CountOwnedBy(const MemberId& member) const;
  std::uint32_t UnownedCount() const { return m_unowned_count; }

  // Whether the range is not empty and all its slots exist.
  bool Contains(const OwnedSlotRange& range) const;
  // Whether every slot of the range is owned by `owner`, or is unowned if
  // `owner` is empty. Ignores the range's own owner.
  bool IsOwnedBy(const OwnedSlotRange& range,
                 const std::optional<MemberId>& owner) const;

  // The latest epoch among the range's slots.
  Epoch LatestEpoch(const OwnedSlotRange& range) const;

  void Assign(const OwnedSlotRange& range, Epoch epoch);
  void Release(const MemberId& member);

  // All owned slots as ranges of equal owner and epoch, for snapshots.
  std::vector<std::pair<OwnedSlotRange, Epoch>> OwnedRanges() const;

  friend bool operator==(const SlotTable& left, const SlotTable& right) {
    return left.m_slot_count == right.m_slot_count &&
           left.m_hash_seed == right.m_hash_seed &&
           left.OwnedRanges() == right.OwnedRanges();
  }

 private:
  // Index into m_owners. 32 bits wide since there is one for each slot.
  using OwnerIndex = std::uint32_t;
  static constexpr OwnerIndex kUnowned = 0xffffffff;

  OwnerIndex FindOwner(const MemberId& member) const;
  OwnerIndex FindOrAddOwner(const MemberId& member);

  struct Owner {
    MemberId member;
    std::uint32_t slot_count = 0;
  };
  void SetOwner(std::uint32_t slot, OwnerIndex owner);

  std::uint32_t m_slot_count;
  std::uint64_t m_hash_seed;
  std::vector<OwnerIndex> m_owner_of_slot;
  std::vector<Epoch> m_epoch_of_slot;
  std::vector<Owner> m_owners;
  std::map<MemberId, OwnerIndex> m_index_of_owner;
  std::uint32_t m_unowned_count;
};

}  // namespace citrongrade
