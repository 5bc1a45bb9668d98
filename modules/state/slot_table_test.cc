#include "modules/state/slot_table.h"

#include <doctest/doctest.h>

#include <cmath>
#include <cstddef>
#include <string>

namespace citrongrade {

namespace {

const MemberId kFirst{NodeId("a"), Incarnation(1)};
const MemberId kSecond{NodeId("b"), Incarnation(2)};

}  // namespace

TEST_CASE("keys are spread evenly over the slots") {
  constexpr std::uint32_t kSlots = 64;
  constexpr int kKeysPerSlot = 1000;
  const SlotTable table(kSlots, 7);
  std::vector<int> keys_in_slot(kSlots);
  for (int key = 0; key < static_cast<int>(kSlots) * kKeysPerSlot; ++key) {
    ++keys_in_slot[table.SlotOf("key-" + std::to_string(key)).value()];
  }
  // Five standard deviations of a binomial count.
  const double allowed = 5 * std::sqrt(kKeysPerSlot);
  for (const int count : keys_in_slot) {
    CHECK(std::abs(count - kKeysPerSlot) < allowed);
  }
}

TEST_CASE("assigned ranges are returned with their owner and epoch") {
  SlotTable table(10, 0);
  table.Assign({SlotIndex(0), 4, kFirst}, Epoch(5));
  table.Assign({SlotIndex(4), 3, kSecond}, Epoch(5));
  table.Assign({SlotIndex(2), 1, kSecond}, Epoch(6));

  CHECK(table.CountOwnedBy(kFirst) == 3);
  CHECK(table.CountOwnedBy(kSecond) == 4);
  CHECK(table.UnownedCount() == 3);
  CHECK(table.OwnerOf(SlotIndex(2)) == SlotOwnership{kSecond, Epoch(6)});
  CHECK_FALSE(table.OwnerOf(SlotIndex(9)).has_value());
  CHECK(table.OwnedRanges().size() == 4);
}

TEST_CASE(
    "a range beyond the last slot is not contained, nor is an empty one") {
  const SlotTable table(10, 0);
  CHECK(table.Contains({SlotIndex(9), 1, kFirst}));
  CHECK_FALSE(table.Contains({SlotIndex(9), 2, kFirst}));
  CHECK_FALSE(table.Contains({SlotIndex(3), 0, kFirst}));
  CHECK_FALSE(table.Contains({SlotIndex(1), 0xffffffff, kFirst}));
}

TEST_CASE("members that join and leave don't lengthen the list of owners") {
  // A mesh whose members restart for years must not slow down: the entry of a
  // member without slots is reused, and the slots of other members keep their
  // owners.
  SlotTable table(4, 0);
  table.Assign({SlotIndex(0), 1, kFirst}, Epoch(1));
  for (std::uint64_t incarnation = 2; incarnation < 100; ++incarnation) {
    const MemberId member{NodeId("b"), Incarnation(incarnation)};
    table.Assign({SlotIndex(1), 3, member}, Epoch(incarnation));
    CHECK(table.CountOwnedBy(member) == 3);
    CHECK(table.CountOwnedBy({NodeId("b"), Incarnation(incarnation - 1)}) == 0);
  }
  CHECK(table.CountOwnedBy(kFirst) == 1);
}

}  // namespace citrongrade
