#include "modules/coordination/mesh/leadership_lease.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPromise{1000};
constexpr milliseconds kDrift{50};

}  // namespace

TEST_CASE("more than half of the voters carry a leader, and no longer") {
  ManualClock clock;
  LeadershipLease lease(clock, kPromise, kDrift, "a");
  lease.SetVoters({"a", "b", "c", "d"});
  CHECK_FALSE(lease.IsValid());
  lease.OnPromise("b", clock.Now());
  CHECK_FALSE(lease.IsValid());
  lease.OnPromise("c", clock.Now());
  CHECK(lease.IsValid());
  clock.Advance(milliseconds(949));
  CHECK(lease.IsValid());
  clock.Advance(milliseconds(1));
  CHECK_FALSE(lease.IsValid());
}

TEST_CASE("a promise that comes late counts from when it was asked for") {
  ManualClock clock;
  LeadershipLease lease(clock, kPromise, kDrift, "a");
  lease.SetVoters({"a", "b"});
  const Clock::TimePoint asked = clock.Now();
  clock.Advance(milliseconds(600));
  lease.OnPromise("b", asked);
  CHECK(lease.ValidUntil() == asked + milliseconds(950));
}

// Whether a change of the voters took effect is not known while the store does
// not answer. A leader that counted on the new ones alone could act beside
// another that the old ones have made.
TEST_CASE("while voters change, a majority of both is needed") {
  ManualClock clock;
  LeadershipLease lease(clock, kPromise, kDrift, "a");
  lease.SetVoters({"a", "b", "c"});
  lease.OnPromise("b", clock.Now());
  REQUIRE(lease.IsValid());
  lease.SetPendingVoters({"a", "x", "y", "z"});
  CHECK_FALSE(lease.IsValid());
  lease.OnPromise("x", clock.Now());
  lease.OnPromise("y", clock.Now());
  CHECK(lease.IsValid());
  lease.OnPromiseWithdrawn("b");
  CHECK_FALSE(lease.IsValid());
  lease.SetVoters({"a", "x", "y", "z"});
  CHECK(lease.IsValid());
}

}  // namespace citrongrade
