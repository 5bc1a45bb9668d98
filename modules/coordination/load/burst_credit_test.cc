#include "modules/coordination/load/burst_credit.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

// A target is saturated for an hour. If time alone refilled the credit, a queue
// up to all deadlines would come back with it each minute.
TEST_CASE("a target that is never idle earns no credit") {
  ManualClock clock;
  BurstCredit credit(clock, {10, 1});
  credit.SetIdleShare(0);
  CHECK(credit.TrySpend(10));
  clock.Advance(std::chrono::hours(1));
  CHECK_FALSE(credit.TrySpend(1));
}

TEST_CASE("idle time earns credit by its share, up to the capacity") {
  ManualClock clock;
  BurstCredit credit(clock, {10, 1});
  CHECK(credit.TrySpend(10));
  credit.SetIdleShare(0.5);
  clock.Advance(std::chrono::seconds(4));
  CHECK_FALSE(credit.TrySpend(2.5));
  CHECK(credit.TrySpend(2));
  clock.Advance(std::chrono::hours(1));
  CHECK(credit.TrySpend(10));
  CHECK_FALSE(credit.TrySpend(0.1));
}

}  // namespace citrongrade
