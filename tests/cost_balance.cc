// Guards against a leader that is given up by the others while it plans moves:
// a round that looked through all runs for each of its moves would take the
// whole time for which they wait, on a small host, four times a second.

#include <doctest/doctest.h>

#include <chrono>
#include <ctime>
#include <string>
#include <vector>

#include "modules/coordination/mesh/key_balancer.h"

namespace citrongrade {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint32_t kTargets = 600;
constexpr double kCapacity = 20;
// Each round may take a fifth of the time until the next, of a tenth of a core.
constexpr microseconds kLongestRound = milliseconds(250) / 5 / 10;

microseconds ProcessorTime() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::duration_cast<microseconds>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

std::string Name(std::uint32_t target) {
  return "10.1.0." + std::to_string(target) + ":7100";
}

// A run for each slot, neighbours with different owners.
KeyTable TableOfSingleSlots() {
  KeyTable table;
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot) {
    OwnedRun run;
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
  const microseconds began = ProcessorTime();
  const auto moves = balancer.Plan(table, arrivals, targets);
  const microseconds took = ProcessorTime() - began;
  CHECK_FALSE(moves.empty());
  CHECK_MESSAGE(took <= kLongestRound, "it took ", took.count(), " us");
}

}  // namespace citrongrade
