#include "modules/coordination/mesh/key_placement.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

namespace citrongrade {

namespace {

const std::vector<float> kEven(kSlotCount, 1.0F);

SlotAssignment MakeAssignment(const SlotRange& range,
                              const std::string& owner) {
  SlotAssignment assignment;
  assignment.range = range;
  assignment.owner = owner;
  assignment.fence = 1;
  return assignment;
}

}  // namespace

TEST_CASE("the receiver with the lowest utilization gets the next keys") {
  KeyTable table;
  table.Assign(MakeAssignment({0, 99}, "a"));
  KeyPlacement placement({{"a", 1}, {"b", 1}, {"c", 4}}, table, kEven);
  CHECK(placement.AssignRange({100, 399}) == 2);
  CHECK(placement.AssignRange({400, 449}) == 1);
  // Loads now: a 100, b 50, and c 300 with four times their capacity.
  CHECK(placement.AssignRange({450, 459}) == 1);
}

TEST_CASE("moving keys count for their next owner") {
  KeyTable table;
  SlotAssignment moving = MakeAssignment({0, 999}, "a");
  moving.next = {"b", {"t-b", 0}, 2};
  table.Assign(moving);
  KeyPlacement placement({{"a", 1}, {"b", 1}}, table, kEven);
  CHECK(placement.AssignRange({1000, 1099}) == 0);
}

TEST_CASE("a hot slot is a piece by itself, idle slots are grouped") {
  std::vector<float> weights = kEven;
  weights[10] = 100'000;
  const KeyPlacement placement({{"a", 1}, {"b", 1}}, KeyTable(), weights);
  CHECK(placement.FirstPiece({0, 99}) == SlotRange{0, 9});
  CHECK(placement.FirstPiece({10, 99}) == SlotRange{10, 10});
  CHECK(placement.FirstPiece({11, 99}) == SlotRange{11, 99});
  CHECK(placement.FirstPiece({99, 99}) == SlotRange{99, 99});
}

// Guards against an uneven assignment when all owners are lost at once and
// every range is assigned in one step, without reading the table in between.
TEST_CASE("keys assigned in one step are spread over all receivers") {
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
