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
  SlotAssignment run;
  run.range = {first, last};
  run.owner = owner;
  run.fence = fence;
  return run;
}

}  // namespace

TEST_CASE("a new table has one run that nobody owns") {
  const KeyTable table;
  REQUIRE(table.assignments().size() == 1);
  CHECK(table.HasUnowned());
  CHECK(table.Find(kSlotCount - 1).range == SlotRange{0, kSlotCount - 1});
}

TEST_CASE("assigning the middle of a run splits it, and giving it back joins") {
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

// Random assignments, each checked slot by slot against a plain array: a slot
// that fell out of the table, or kept an old owner, would be served by nobody
// or by two.
TEST_CASE("runs agree with a plain array under random assignments") {
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
  for (const SlotAssignment& run : table.assignments()) {
    CHECK(run.range.first == next);
    next = run.range.last + 1;
  }
  CHECK(next == kSlotCount);
  bool all_agree = true;
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot)
    all_agree = all_agree && table.Find(slot).fence == fences[slot];
  CHECK(all_agree);
}

// Two neighbours that could be one run would make every view longer, for ever.
TEST_CASE("neighbours of one assignment are one run") {
  std::mt19937 random(11);
  KeyTable table;
  for (int step = 0; step < 500; ++step) {
    const std::uint32_t first = random() % kSlotCount;
    const std::uint32_t last =
        std::min<std::uint32_t>(kSlotCount - 1, first + random() % 600);
    table.Assign(MakeAssignment(first, last, "n", random() % 3));
    const std::vector<SlotAssignment>& runs = table.assignments();
    for (std::size_t i = 1; i < runs.size(); ++i)
      REQUIRE(!runs[i - 1].SameAssignment(runs[i]));
  }
}

TEST_CASE("the runs of a range are those that have a part of it") {
  KeyTable table;
  table.Assign(MakeAssignment(0, 99, "a", 1));
  table.Assign(MakeAssignment(100, 199, "b", 2));
  table.Assign(MakeAssignment(200, kSlotCount - 1, "c", 3));
  const auto owners = [&table](const SlotRange& range) {
    std::string found;
    for (const SlotAssignment& run : table.AssignmentsIn(range))
      found += run.owner;
    return found;
  };
  CHECK(owners({0, 99}) == "a");
  CHECK(owners({99, 100}) == "ab");
  CHECK(owners({50, 200}) == "abc");
  CHECK(owners({kSlotCount - 1, kSlotCount - 1}) == "c");
}

}  // namespace citrongrade
