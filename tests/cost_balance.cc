// Guards against a leader that spends its host's processor on planning moves:
// looking through all runs for each move, a round of the largest mesh took more
// than control may take of a core.

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "modules/coordination/mesh/key_balancer.h"
#include "tests/support/processor_time.h"

namespace citrongrade {

namespace {

using std::chrono::microseconds;

constexpr std::uint32_t kTargets = 600;
constexpr double kCapacity = 20;
// Control may take 2 % of a core.
constexpr microseconds kLongestRound = KeyBalancer::kRoundInterval / 50;

std::string Name(std::uint32_t target) {
  return "10.1.0." + std::to_string(target) + ":7100";
}

// A run for each slot, neighbours with different owners.
KeyTable TableOfSingleSlots() {
  KeyTable table;
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot) {
    SlotAssignment run;
    run.range = {slot, slot};
    run.owner = Name(slot * 37 % kTargets);
    run.fence = slot + 1;
    table.Assign(run);
  }
  return table;
}

}  // namespace

TEST_CASE("a round of moves in the largest mesh takes a small host little") {
  const KeyTable table = TableOfSingleSlots();
  std::vector<KeyBalancer::Target> targets;
  for (std::uint32_t i = 0; i < kTargets; ++i)
    targets.push_back({Name(i), i % 3 == 0 ? 2 * kCapacity : kCapacity, true});
  std::vector<float> arrivals(
      kSlotCount, static_cast<float>(kTargets * kCapacity / kSlotCount));
  KeyBalancer balancer{KeyBalancer::Parameters()};
  std::vector<KeyBalancer::Move> moves;
  const microseconds took =
      CostOf([&] { moves = balancer.Plan(table, arrivals, targets); });
  CHECK_FALSE(moves.empty());
  CHECK_MESSAGE(took <= kLongestRound, "it took ", took.count(), " us");
}

}  // namespace citrongrade
