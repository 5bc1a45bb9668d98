#include "modules/coordination/mesh/vote_promise.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

TEST_CASE("a vote belongs to one candidate until its time is over") {
  ManualClock clock;
  VotePromise promise(clock, milliseconds(1000));
  clock.Advance(milliseconds(1000));
  REQUIRE(promise.Promise("a"));
  CHECK_FALSE(promise.Promise("b"));
  clock.Advance(milliseconds(900));
  CHECK(promise.Promise("a"));
  clock.Advance(milliseconds(999));
  CHECK_FALSE(promise.Promise("b"));
  clock.Advance(milliseconds(1));
  CHECK(promise.Promise("b"));
}

// Two nodes lead at once, and both give the same keys away: a node promised its
// vote, died, started again and promised it to another, while the first leader
// still counted on it.
TEST_CASE("a process that has just started promises nothing") {
  ManualClock clock;
  VotePromise promise(clock, milliseconds(1000));
  CHECK_FALSE(promise.Promise("a"));
  clock.Advance(milliseconds(999));
  CHECK(promise.is_abstaining());
  clock.Advance(milliseconds(1));
  CHECK(promise.Promise("a"));
}

TEST_CASE("a holder that gives its vote back frees it for others") {
  ManualClock clock;
  VotePromise promise(clock, milliseconds(1000));
  clock.Advance(milliseconds(1000));
  REQUIRE(promise.Promise("a"));
  promise.Release("b");
  CHECK_FALSE(promise.Promise("b"));
  promise.Release("a");
  CHECK(promise.Promise("b"));
}

// All processes of a mesh end at once. Each that starts may have promised its
// vote before; while nobody voted for that long, nobody was served.
TEST_CASE("a new process votes at once when the last leader is gone") {
  ManualClock clock;
  VotePromise vote(clock, milliseconds(1200));
  CHECK_FALSE(vote.Promise("a"));
  CHECK(vote.Promise("a", true));
  // It keeps the promise like any other, and renews it.
  CHECK_FALSE(vote.Promise("b", true));
  CHECK(vote.Promise("a"));
  vote.Release("a");
  // Nothing has been shown of whoever leads by now.
  CHECK_FALSE(vote.Promise("a"));
}

}  // namespace citrongrade
