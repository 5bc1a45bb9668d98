#include "modules/coordination/mesh/leadership_lease.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPromise{1000};
constexpr milliseconds kDrift{50};

}  // namespace

TEST_CASE("a leader may act only while a majority of the voters has promised") {
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

TEST_CASE("a late promise counts from the time of the request") {
  ManualClock clock;
  LeadershipLease lease(clock, kPromise, kDrift, "a");
  lease.SetVoters({"a", "b"});
  const Clock::TimePoint asked = clock.Now();
  clock.Advance(milliseconds(600));
  lease.OnPromise("b", asked);
  CHECK(lease.ValidUntil() == asked + milliseconds(950));
}

// Guards against two leaders at once. While the store does not reply, it is
// unknown whether a change of the voters has taken effect. A leader that relied
// on the new voters alone could act beside another one that the old voters have
// elected.
TEST_CASE("a majority of old and new voters is needed during a change") {
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
