#include "modules/coordination/mesh/polling_hold_tracker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "modules/coordination/manual_clock.h"
#include "modules/coordination/testing/owned_runs.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLease{1900};
constexpr milliseconds kBeat{870};

struct Fixture {
  // One report and its answer.
  PollingHoldTracker::GrantReply Beat(
      const PollingHoldTracker::Report& report) {
    clock.Advance(kBeat);
    holds.OnReport(report);
    const auto statement =
        holds.MakeGrantReply(clock.Now(), clock.Now() + kLease);
    REQUIRE(statement.has_value());
    return *statement;
  }

  void Hold(std::uint32_t first, std::uint32_t last, std::uint64_t fence) {
    holds.SetAssignments({MakeOwnedRun(first, last, fence)});
    Beat({});
    Beat({{{{first, last}, fence}}, {}});
  }

  ManualClock clock;
  PollingHoldTracker holds{clock, kLease};
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "keys are served once an answer has granted them") {
  holds.SetAssignments({MakeOwnedRun(10, 20, 5)});
  CHECK(holds.IsAwaitingGrant(15));
  CHECK(holds.HasPendingChanges());
  const auto statement = Beat({});
  REQUIRE(statement.ranges.size() == 1);
  CHECK(statement.ranges.front().handover == "from-before");
  CHECK(statement.hold < kLease);
  CHECK(holds.MayServe(15));
  CHECK_FALSE(holds.MayServe(21));
  clock.Advance(statement.hold);
  CHECK_FALSE(holds.MayServe(15));
}

TEST_CASE_FIXTURE(Fixture, "what the target holds is named in every answer") {
  Hold(10, 20, 5);
  CHECK_FALSE(holds.HasPendingChanges());
  const auto statement = Beat({{{{10, 20}, 5}}, {}});
  REQUIRE(statement.ranges.size() == 1);
  // It has it already.
  CHECK(statement.ranges.front().handover.empty());
}

// The answer's time counts from when the report was sent. A node that is slow
// to answer must not let the target hold keys beyond its own lease.
TEST_CASE_FIXTURE(Fixture, "a late answer grants no longer than the lease") {
  holds.SetAssignments({MakeOwnedRun(10, 20, 5)});
  const Clock::TimePoint reported = clock.Now();
  const Clock::TimePoint lease_until = reported + kLease;
  holds.OnReport({});
  clock.Advance(milliseconds(600));
  const auto statement = holds.MakeGrantReply(reported, lease_until);
  REQUIRE(statement.has_value());
  // By a clock that runs 2 % slow.
  CHECK(reported + statement->hold * 102 / 100 <= lease_until);
  CHECK_FALSE(holds.MakeGrantReply(reported, clock.Now() + milliseconds(10))
                  .has_value());
}

// Keys move to another target. Until an answer leaves them out nobody else can
// have them, and refusing their requests meanwhile would serve no one.
TEST_CASE_FIXTURE(Fixture, "keys that are to move are served until an answer") {
  Hold(10, 20, 5);
  holds.SetAssignments({MakeOwnedRun(10, 11, 5), MakeMovingRun(12, 13, 5),
                        MakeOwnedRun(14, 20, 5)});
  CHECK(holds.HasPendingChanges());
  CHECK(holds.MayServe(12));
  const auto statement = Beat({{{{10, 20}, 5}}, {}});
  REQUIRE(statement.ranges.size() == 2);
  CHECK_FALSE(holds.MayServe(12));
  CHECK(holds.IsBeingReleased(12));
  CHECK(holds.MayServe(11));
  CHECK(holds.ReturnedRanges().empty());
}

TEST_CASE_FIXTURE(Fixture, "keys count as given back when a report says so") {
  Hold(10, 20, 5);
  holds.SetAssignments({MakeMovingRun(10, 20, 5)});
  Beat({{{{10, 20}, 5}}, {}});
  // Work still runs on them.
  Beat({{{{10, 20}, 5}}, {}});
  CHECK(holds.ReturnedRanges().empty());
  Beat({{}, {{{10, 20}, "token"}}});
  const auto returned = holds.ReturnedRanges();
  REQUIRE(returned.size() == 1);
  CHECK(returned.front().handover == "token");
  // It is reported until the view shows another owner, and never named again.
  CHECK(Beat({}).ranges.empty());
  holds.SetAssignments({});
  CHECK(holds.ReturnedRanges().empty());
}

// A report that says the keys were freed had no answer and is said again. By
// then the target has got them back by a higher token and holds them.
TEST_CASE_FIXTURE(Fixture, "an old word of freed keys ends no later hold") {
  Hold(10, 20, 9);
  holds.SetAssignments({MakeMovingRun(10, 20, 9)});
  Beat({{{{10, 20}, 9}}, {}});
  Beat({{{{10, 20}, 9}}, {{{10, 20}, "old"}}});
  CHECK(holds.ReturnedRanges().empty());
}

// Two targets hold the same keys: an answer that named them was lost, or so it
// seemed, and they were given on at once. Every answer that named them has to
// have run out first.
TEST_CASE_FIXTURE(Fixture, "keys nobody reports are waited for") {
  holds.SetAssignments({MakeOwnedRun(10, 20, 5)});
  const auto statement = Beat({});
  holds.SetAssignments({MakeMovingRun(10, 20, 5)});
  // The target says nothing of them, neither held nor freed.
  clock.Advance(milliseconds(100));
  holds.MakeGrantReply(clock.Now(), clock.Now() + kLease);
  holds.OnReport({});
  CHECK(holds.ReturnedRanges().empty());
  // By a clock that runs 2 % slow.
  clock.Advance(statement.hold - milliseconds(100));
  CHECK(holds.ReturnedRanges().empty());
  clock.Advance(milliseconds(100));
  CHECK(holds.ReturnedRanges().size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a lost answer is said again in the next") {
  holds.SetAssignments({MakeOwnedRun(10, 20, 5)});
  Beat({});
  const auto again = Beat({});
  REQUIRE(again.ranges.size() == 1);
  CHECK(again.ranges.front().handover == "from-before");
  CHECK(holds.MayServe(15));
}

// The target has seen a higher token, by a leader that is gone, and takes the
// range from no answer. Its callers were refused for good.
TEST_CASE_FIXTURE(Fixture, "a range that is never taken needs a new token") {
  holds.SetAssignments({MakeOwnedRun(10, 20, 5)});
  for (unsigned i = 0; i < PollingHoldTracker::kMaxIgnoredReplies; ++i)
    Beat({});
  CHECK(holds.ReturnedRanges().empty());
  CHECK(Beat({}).ranges.empty());
  CHECK_FALSE(holds.MayServe(15));
  REQUIRE(holds.ReturnedRanges().size() == 1);
  CHECK(holds.ReturnedRanges().front().handover.empty());
}

// A node starts again beside a target that lives on and holds its keys.
TEST_CASE_FIXTURE(Fixture, "a new process keeps what its target holds") {
  PollingHoldTracker later(clock, kLease);
  later.SetAssignments({MakeOwnedRun(10, 20, 5)});
  later.OnReport({{{{10, 20}, 5}}, {}});
  const auto statement =
      later.MakeGrantReply(clock.Now(), clock.Now() + kLease);
  REQUIRE(statement.has_value());
  REQUIRE(statement->ranges.size() == 1);
  CHECK(statement->ranges.front().handover.empty());
  CHECK(later.MayServe(15));
}

TEST_CASE_FIXTURE(Fixture, "what the view gives to nobody here is given back") {
  holds.OnReport({{{{30, 40}, 7}}, {}});
  CHECK(holds.HasPendingChanges());
  CHECK(Beat({{{{30, 40}, 7}}, {}}).ranges.empty());
}

// More ranges than an answer can name: those that the target has go first, or
// it would give them back.
TEST_CASE_FIXTURE(Fixture, "a full answer names first what is held") {
  std::vector<SlotAssignment> owned;
  for (std::uint32_t i = 0; i < 60; ++i)
    owned.push_back(MakeOwnedRun(1000 + 2 * i, 1000 + 2 * i, 100 + i));
  holds.SetAssignments(owned);
  const auto first = Beat({});
  PollingHoldTracker::Report report;
  for (const PollingHoldTracker::GrantedRange& row : first.ranges)
    report.held.push_back({row.range, row.fence});
  std::vector<SlotAssignment> more;
  for (std::uint32_t i = 0; i < 200; ++i)
    more.push_back(MakeOwnedRun(2 * i, 2 * i, 300 + i));
  more.insert(more.end(), owned.begin(), owned.end());
  holds.SetAssignments(more);
  const auto next = Beat(report);
  CHECK(next.ranges.size() < more.size());
  for (const PollingHoldTracker::HeldRange& held : report.held) {
    CHECK(std::any_of(next.ranges.begin(), next.ranges.end(),
                      [&held](const PollingHoldTracker::GrantedRange& row) {
                        return row.range == held.range;
                      }));
  }
}

}  // namespace citrongrade
