#include "programs/citrongrade-target-standin/grant_table.h"

#include <doctest/doctest.h>

#include <chrono>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

Grant GrantOf(const Clock& clock, std::uint32_t slot, std::uint64_t epoch) {
  return {SlotIndex(slot), Epoch(epoch), clock.Now() + milliseconds(500)};
}

}  // namespace

// The old owner was paused; its successor has already sent work with epoch 8.
// The old owner wakes and sends with epoch 7: two owners would serve the slot.
TEST_CASE("an older epoch is refused on its slot alone") {
  ManualClock clock;
  GrantTable table;
  CHECK(table.Check(GrantOf(clock, 1, 7), clock.Now()) == GrantVerdict::kGood);
  CHECK(table.Check(GrantOf(clock, 1, 8), clock.Now()) == GrantVerdict::kGood);
  CHECK(table.Check(GrantOf(clock, 1, 7), clock.Now()) ==
        GrantVerdict::kOldEpoch);
  CHECK(table.Check(GrantOf(clock, 2, 7), clock.Now()) == GrantVerdict::kGood);
}

// A request waited in the target longer than its owner's lease. Its epoch is
// the highest here, but a successor may already serve elsewhere.
TEST_CASE("a lapsed lease is refused, and leaves no epoch behind") {
  ManualClock clock;
  GrantTable table;
  const Grant grant = GrantOf(clock, 1, 9);
  clock.Advance(milliseconds(500));
  CHECK(table.Check(grant, clock.Now()) == GrantVerdict::kLapsed);
  CHECK(table.Check(GrantOf(clock, 1, 8), clock.Now()) == GrantVerdict::kGood);
  CHECK(table.Check(std::nullopt, clock.Now()) == GrantVerdict::kMissing);
}

}  // namespace citrongrade
