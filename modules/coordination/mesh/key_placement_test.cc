#include "modules/coordination/mesh/key_placement.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

namespace citrongrade {

namespace {

const std::vector<float> kEven(kSlotCount, 1.0F);

SlotAssignment Run(const SlotRange& range, const std::string& owner) {
  SlotAssignment run;
  run.range = range;
  run.owner = owner;
  run.fence = 1;
  return run;
}

}  // namespace

TEST_CASE("whoever is least busy for its size gets the next keys") {
  KeyTable table;
  table.Assign(Run({0, 99}, "a"));
  KeyPlacement placement({{"a", 1}, {"b", 1}, {"c", 4}}, table, kEven);
  CHECK(placement.AssignRange({100, 399}) == 2);
  CHECK(placement.AssignRange({400, 449}) == 1);
  // a has 100 already, b 50 now and c 300 with four times their size.
  CHECK(placement.AssignRange({450, 459}) == 1);
}

TEST_CASE("keys that move count for their next owner") {
  KeyTable table;
  SlotAssignment moving = Run({0, 999}, "a");
  moving.next = {"b", {"t-b", 0}, 2};
  table.Assign(moving);
  KeyPlacement placement({{"a", 1}, {"b", 1}}, table, kEven);
  CHECK(placement.AssignRange({1000, 1099}) == 0);
}

TEST_CASE("a busy slot is a piece by itself, idle ones go together") {
  std::vector<float> weights = kEven;
  weights[10] = 100'000;
  const KeyPlacement placement({{"a", 1}, {"b", 1}}, KeyTable(), weights);
  CHECK(placement.FirstPiece({0, 99}) == SlotRange{0, 9});
  CHECK(placement.FirstPiece({10, 99}) == SlotRange{10, 10});
  CHECK(placement.FirstPiece({11, 99}) == SlotRange{11, 99});
  CHECK(placement.FirstPiece({99, 99}) == SlotRange{99, 99});
}

// All owners are lost at once, and every run is given out in one step: each
// receiver must get its share although nobody looks at the table in between.
TEST_CASE("what is given out in one step is spread over all") {
  std::vector<KeyPlacement::Receiver> receivers;
  for (char name = 'a'; name < 'i'; ++name)
    receivers.push_back({std::string(1, name), 1});
  KeyPlacement placement(receivers, KeyTable(), kEven);
  std::map<std::size_t, std::uint32_t> slots;
  SlotRange rest{0, kSlotCount - 1};
  while (rest.first <= rest.last) {
    const SlotRange piece = placement.FirstPiece(rest);
    slots[placement.AssignRange(piece)] += piece.size();
    rest.first = piece.last + 1;
  }
  CHECK(slots.size() == receivers.size());
  for (const auto& [receiver, count] : slots)
    CHECK(count <= kSlotCount / receivers.size() * 4 / 3);
}

}  // namespace citrongrade
