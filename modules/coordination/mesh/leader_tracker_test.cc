#include "modules/coordination/mesh/leader_tracker.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kHintTimeout{1200};
// Interval between two requests.
constexpr milliseconds kStep{40};

struct Fixture {
  ManualClock clock;
  LeaderTracker tracker{clock, kHintTimeout};
};

}  // namespace

// Guards against a mesh that can't elect a leader after the leader was killed
// and restarted at once. Node "a" considers it the leader and it considers "a"
// the leader; all other nodes are redirected between the two forever, and
// promise both their votes.
TEST_CASE_FIXTURE(Fixture, "two nodes that name each other are given up") {
  tracker.Follow("a");
  milliseconds asked{0};
  while (tracker.is_following() && asked < milliseconds(5000)) {
    const std::string node = tracker.address();
    CHECK_FALSE(tracker.IsConfirmedLeader(node));
    tracker.OnNotLeading(node, node == "a" ? "b" : "a");
    clock.Advance(kStep);
    asked += kStep;
  }
  CHECK(asked > kHintTimeout);
  CHECK(asked < kHintTimeout + 3 * kStep);
}

TEST_CASE_FIXTURE(
    Fixture,
    "a vote is only promised to a node that answered as the leader") {
  tracker.Follow("a");
  CHECK_FALSE(tracker.IsConfirmedLeader("a"));
  tracker.OnLeaderReply("a");
  CHECK(tracker.IsConfirmedLeader("a"));
  tracker.OnNotLeading("a", "b");
  CHECK(tracker.address() == "b");
  CHECK_FALSE(tracker.IsConfirmedLeader("a"));
  CHECK_FALSE(tracker.IsConfirmedLeader("b"));
}

TEST_CASE_FIXTURE(Fixture, "a leader that misses one answer is kept") {
  tracker.Follow("a");
  CHECK_FALSE(tracker.OnTimeout("a"));
  tracker.OnLeaderReply("a");
  CHECK_FALSE(tracker.OnTimeout("a"));
  CHECK(tracker.OnTimeout("a"));
  CHECK_FALSE(tracker.is_following());
  CHECK(tracker.HasRecentlyFailed("a"));
  clock.Advance(milliseconds(1501));
  CHECK_FALSE(tracker.HasRecentlyFailed("a"));
}

// Guards against following a leader that was frozen for seconds and answers
// again although it has been deposed: its followers would get no lease.
TEST_CASE_FIXTURE(Fixture, "a deposed leader is not followed") {
  tracker.Follow("old");
  tracker.OnLeaderReply("old");
  tracker.OnDeposed("other");
  CHECK(tracker.is_followed("old"));
  tracker.OnDeposed("old");
  CHECK_FALSE(tracker.is_following());
  CHECK(tracker.HasRecentlyFailed("old"));
}

TEST_CASE_FIXTURE(Fixture, "a late outcome for another node changes nothing") {
  tracker.Follow("a");
  CHECK_FALSE(tracker.OnTimeout("b"));
  CHECK_FALSE(tracker.OnTimeout("b"));
  tracker.OnNotLeading("b", "c");
  CHECK(tracker.address() == "a");
  tracker.OnConnectionRefused("b");
  CHECK(tracker.address() == "a");
  tracker.OnConnectionRefused("a");
  CHECK_FALSE(tracker.is_following());
}

TEST_CASE_FIXTURE(Fixture, "the time without a leader counts from its answer") {
  tracker.Follow("a");
  clock.Advance(milliseconds(500));
  tracker.OnNotLeading("a", "");
  CHECK(tracker.TimeSinceLeaderReply() == milliseconds(500));
  tracker.OnLeaderReply("a");
  CHECK(tracker.TimeSinceLeaderReply() == milliseconds(0));
}

}  // namespace citrongrade
