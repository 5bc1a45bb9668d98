#include "modules/state/mesh/key_table.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace citrongrade {

namespace {

SlotAssignment MakeAssignment(std::uint32_t first,
                              std::uint32_t last,
                              const std::string& owner,
                              std::uint64_t fence) {
  SlotAssignment assignment;
  assignment.range = {first, last};
  assignment.owner = owner;
  assignment.fence = fence;
  return assignment;
}

}  // namespace

TEST_CASE("a new table has one assignment without an owner") {
  const KeyTable table;
  REQUIRE(table.assignments().size() == 1);
  CHECK(table.HasUnowned());
  CHECK(table.Find(kSlotCount - 1).range == SlotRange{0, kSlotCount - 1});
}

TEST_CASE(
    "assigning the middle of a range splits it, and assigning it back merges "
    "it") {
  KeyTable table;
  table.Assign(MakeAssignment(0, kSlotCount - 1, "a", 1));
  table.Assign(MakeAssignment(100, 199, "b", 2));
  REQUIRE(table.assignments().size() == 3);
  CHECK(table.Find(99).owner == "a");
  CHECK(table.Find(100).owner == "b");
  CHECK(table.Find(199).owner == "b");
  CHECK(table.Find(200).owner == "a");
  CHECK(table.CountOwnedBy("b") == 100);
  table.Assign(MakeAssignment(100, 199, "a", 1));
  CHECK(table.assignments().size() == 1);
}

// Compares random assignments slot by slot with a plain array. A slot that is
// missing from the table, or keeps an old owner, would be served by nobody or
// by two targets.
TEST_CASE("the table matches a plain array under random assignments") {
  std::mt19937 random(7);
  KeyTable table;
  std::vector<std::uint64_t> fences(kSlotCount, 0);
  for (std::uint64_t step = 1; step <= 500; ++step) {
    const std::uint32_t first = random() % kSlotCount;
    const std::uint32_t last =
        std::min<std::uint32_t>(kSlotCount - 1, first + random() % 600);
    table.Assign(
        MakeAssignment(first, last, "n" + std::to_string(random() % 5), step));
    for (std::uint32_t slot = first; slot <= last; ++slot)
      fences[slot] = step;
  }
  std::uint32_t next = 0;
  for (const SlotAssignment& assignment : table.assignments()) {
    CHECK(assignment.range.first == next);
    next = assignment.range.last + 1;
  }
  CHECK(next == kSlotCount);
  bool all_agree = true;
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot)
    all_agree = all_agree && table.Find(slot).fence == fences[slot];
  CHECK(all_agree);
}

// Neighbours that are not merged would make every later view longer.
TEST_CASE("equal neighbouring assignments are merged") {
  std::mt19937 random(11);
  KeyTable table;
  for (int step = 0; step < 500; ++step) {
    const std::uint32_t first = random() % kSlotCount;
    const std::uint32_t last =
        std::min<std::uint32_t>(kSlotCount - 1, first + random() % 600);
    table.Assign(MakeAssignment(first, last, "n", random() % 3));
    const std::vector<SlotAssignment>& assignments = table.assignments();
    for (std::size_t i = 1; i < assignments.size(); ++i)
      REQUIRE(!assignments[i - 1].SameAssignment(assignments[i]));
  }
}

TEST_CASE("the assignments of a range are those that overlap it") {
  KeyTable table;
  table.Assign(MakeAssignment(0, 99, "a", 1));
  table.Assign(MakeAssignment(100, 199, "b", 2));
  table.Assign(MakeAssignment(200, kSlotCount - 1, "c", 3));
  const auto owners = [&table](const SlotRange& range) {
    std::string found;
    for (const SlotAssignment& assignment : table.AssignmentsIn(range))
      found += assignment.owner;
    return found;
  };
  CHECK(owners({0, 99}) == "a");
  CHECK(owners({99, 100}) == "ab");
  CHECK(owners({50, 200}) == "abc");
  CHECK(owners({kSlotCount - 1, kSlotCount - 1}) == "c");
}

}  // namespace citrongrade
