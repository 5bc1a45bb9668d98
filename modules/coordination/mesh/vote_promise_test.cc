#include "modules/coordination/mesh/vote_promise.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

TEST_CASE("a vote belongs to one candidate until the promise expires") {
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

// Guards against two leaders that both assign the same keys: a node promised
// its vote, crashed, restarted and promised the vote to another candidate while
// the first leader still relied on it.
TEST_CASE("a process that has just started abstains") {
  ManualClock clock;
  VotePromise promise(clock, milliseconds(1000));
  CHECK_FALSE(promise.Promise("a"));
  clock.Advance(milliseconds(999));
  CHECK(promise.is_abstaining());
  clock.Advance(milliseconds(1));
  CHECK(promise.Promise("a"));
}

TEST_CASE("a vote that its holder returns is free for others") {
  ManualClock clock;
  VotePromise promise(clock, milliseconds(1000));
  clock.Advance(milliseconds(1000));
  REQUIRE(promise.Promise("a"));
  promise.Release("b");
  CHECK_FALSE(promise.Promise("b"));
  promise.Release("a");
  CHECK(promise.Promise("b"));
}

// Guards against an outage after all processes of a mesh end at once. Each
// restarted process may have promised its vote before, so that without the
// exception all of them would abstain for the duration of a promise.
TEST_CASE("a new process votes at once if the last leader is gone") {
  ManualClock clock;
  VotePromise vote(clock, milliseconds(1200));
  CHECK_FALSE(vote.Promise("a"));
  CHECK(vote.Promise("a", true));
  // The promise binds like any other one and can be renewed.
  CHECK_FALSE(vote.Promise("b", true));
  CHECK(vote.Promise("a"));
  vote.Release("a");
  // The voter has not been shown that the current leader is gone.
  CHECK_FALSE(vote.Promise("a"));
}

}  // namespace citrongrade
