#include "modules/coordination/mesh/vote_promise.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

TEST_CASE("a vote belongs to one candidate until its time is over") {
  ManualClock clock;
  VotePromise promise(clock, milliseconds(1000));
  clock.Advance(milliseconds(1000));
  REQUIRE(promise.Grant("a"));
  CHECK_FALSE(promise.Grant("b"));
  clock.Advance(milliseconds(900));
  CHECK(promise.Grant("a"));
  clock.Advance(milliseconds(999));
  CHECK_FALSE(promise.Grant("b"));
  clock.Advance(milliseconds(1));
  CHECK(promise.Grant("b"));
}

// Two nodes lead at once, and both give the same keys away: a node promised its
// vote, died, started again and promised it to another, while the first leader
// still counted on it.
TEST_CASE("a process that has just started promises nothing") {
  ManualClock clock;
  VotePromise promise(clock, milliseconds(1000));
  CHECK_FALSE(promise.Grant("a"));
  clock.Advance(milliseconds(999));
  CHECK(promise.is_abstaining());
  clock.Advance(milliseconds(1));
  CHECK(promise.Grant("a"));
}

TEST_CASE("a holder that gives its vote back frees it for others") {
  ManualClock clock;
  VotePromise promise(clock, milliseconds(1000));
  clock.Advance(milliseconds(1000));
  REQUIRE(promise.Grant("a"));
  promise.GiveBack("b");
  CHECK_FALSE(promise.Grant("b"));
  promise.GiveBack("a");
  CHECK(promise.Grant("b"));
}

}  // namespace citrongrade
