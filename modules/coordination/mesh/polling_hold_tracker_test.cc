#include "modules/coordination/mesh/polling_hold_tracker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "modules/coordination/manual_clock.h"
#include "modules/coordination/testing/slot_assignments.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLease{1900};
constexpr milliseconds kReportInterval{870};

struct Fixture {
  // Passes a report and returns its reply.
  PollingHoldTracker::GrantReply Beat(
      const PollingHoldTracker::Report& report) {
    clock.Advance(kReportInterval);
    holds.OnReport(report);
    const auto reply = holds.MakeGrantReply(clock.Now(), clock.Now() + kLease);
    REQUIRE(reply.has_value());
    return *reply;
  }

  void Hold(std::uint32_t first, std::uint32_t last, std::uint64_t fence) {
    holds.SetAssignments({MakeOwnedAssignment(first, last, fence)});
    Beat({});
    Beat({{{{first, last}, fence}}, {}});
  }

  ManualClock clock;
  PollingHoldTracker holds{clock, kLease};
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "keys are served once a reply has granted them") {
  holds.SetAssignments({MakeOwnedAssignment(10, 20, 5)});
  CHECK(holds.IsAwaitingGrant(15));
  CHECK(holds.HasPendingChanges());
  const auto reply = Beat({});
  REQUIRE(reply.ranges.size() == 1);
  CHECK(reply.ranges.front().handover == "from-before");
  CHECK(reply.hold < kLease);
  CHECK(holds.MayServe(15));
  CHECK_FALSE(holds.MayServe(21));
  clock.Advance(reply.hold);
  CHECK_FALSE(holds.MayServe(15));
}

TEST_CASE_FIXTURE(Fixture,
                  "every reply lists the ranges that the target holds") {
  Hold(10, 20, 5);
  CHECK_FALSE(holds.HasPendingChanges());
  const auto reply = Beat({{{{10, 20}, 5}}, {}});
  REQUIRE(reply.ranges.size() == 1);
  // The target already has the handover.
  CHECK(reply.ranges.front().handover.empty());
}

// Guards against a hold that outlasts the node's lease because the node replies
// late: the duration counts from when the report was sent.
TEST_CASE_FIXTURE(Fixture, "a late reply grants no hold beyond the lease") {
  holds.SetAssignments({MakeOwnedAssignment(10, 20, 5)});
  const Clock::TimePoint reported = clock.Now();
  const Clock::TimePoint lease_until = reported + kLease;
  holds.OnReport({});
  clock.Advance(milliseconds(600));
  const auto reply = holds.MakeGrantReply(reported, lease_until);
  REQUIRE(reply.has_value());
  // The target's clock may run 2 % slow.
  CHECK(reported + reply->hold * 102 / 100 <= lease_until);
  CHECK_FALSE(holds.MakeGrantReply(reported, clock.Now() + milliseconds(10))
                  .has_value());
}

// Guards against an avoidable outage of keys that move to another target: until
// a reply omits them no other target can hold them, so refusing their requests
// earlier would help nobody.
TEST_CASE_FIXTURE(Fixture,
                  "keys that are to move are served until a reply omits them") {
  Hold(10, 20, 5);
  holds.SetAssignments({MakeOwnedAssignment(10, 11, 5),
                        MakeMovingAssignment(12, 13, 5),
                        MakeOwnedAssignment(14, 20, 5)});
  CHECK(holds.HasPendingChanges());
  CHECK(holds.MayServe(12));
  const auto reply = Beat({{{{10, 20}, 5}}, {}});
  REQUIRE(reply.ranges.size() == 2);
  CHECK_FALSE(holds.MayServe(12));
  CHECK(holds.IsBeingReleased(12));
  CHECK(holds.MayServe(11));
  CHECK(holds.ReturnedRanges().empty());
}

TEST_CASE_FIXTURE(Fixture, "keys count as returned once a report says so") {
  Hold(10, 20, 5);
  holds.SetAssignments({MakeMovingAssignment(10, 20, 5)});
  Beat({{{{10, 20}, 5}}, {}});
  // Requests for these keys are still running.
  Beat({{{{10, 20}, 5}}, {}});
  CHECK(holds.ReturnedRanges().empty());
  Beat({{}, {{{10, 20}, "token"}}});
  const auto returned = holds.ReturnedRanges();
  REQUIRE(returned.size() == 1);
  CHECK(returned.front().handover == "token");
  // The range is reported as returned until the view shows another owner, and
  // is not listed again.
  CHECK(Beat({}).ranges.empty());
  holds.SetAssignments({});
  CHECK(holds.ReturnedRanges().empty());
}

// Guards against a hold that ends because of an outdated report: a report of
// released keys got no reply and is repeated after the target has got the keys
// back with a higher fencing token.
TEST_CASE_FIXTURE(Fixture,
                  "a repeated report of released keys ends no later hold") {
  Hold(10, 20, 9);
  holds.SetAssignments({MakeMovingAssignment(10, 20, 9)});
  Beat({{{{10, 20}, 9}}, {}});
  Beat({{{{10, 20}, 9}}, {{{10, 20}, "old"}}});
  CHECK(holds.ReturnedRanges().empty());
}

// Guards against two holders of a key: a reply that listed the keys appeared to
// be lost, and they were reassigned at once. Every reply that listed them has
// to expire first.
TEST_CASE_FIXTURE(
    Fixture,
    "unreported keys are returned only after their grants expire") {
  holds.SetAssignments({MakeOwnedAssignment(10, 20, 5)});
  const auto reply = Beat({});
  holds.SetAssignments({MakeMovingAssignment(10, 20, 5)});
  // The target reports the keys neither as held nor as released.
  clock.Advance(milliseconds(100));
  holds.MakeGrantReply(clock.Now(), clock.Now() + kLease);
  holds.OnReport({});
  CHECK(holds.ReturnedRanges().empty());
  // The target's clock may run 2 % slow.
  clock.Advance(reply.hold - milliseconds(100));
  CHECK(holds.ReturnedRanges().empty());
  clock.Advance(milliseconds(100));
  CHECK(holds.ReturnedRanges().size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "the next reply repeats a lost grant") {
  holds.SetAssignments({MakeOwnedAssignment(10, 20, 5)});
  Beat({});
  const auto again = Beat({});
  REQUIRE(again.ranges.size() == 1);
  CHECK(again.ranges.front().handover == "from-before");
  CHECK(holds.MayServe(15));
}

// Guards against keys whose callers are refused for good: the target has seen a
// higher fencing token of a previous leader and accepts the range from no
// reply.
TEST_CASE_FIXTURE(Fixture,
                  "a range that the target never accepts needs a new token") {
  holds.SetAssignments({MakeOwnedAssignment(10, 20, 5)});
  for (unsigned i = 0; i < PollingHoldTracker::kMaxIgnoredReplies; ++i)
    Beat({});
  CHECK(holds.ReturnedRanges().empty());
  CHECK(Beat({}).ranges.empty());
  CHECK_FALSE(holds.MayServe(15));
  REQUIRE(holds.ReturnedRanges().size() == 1);
  CHECK(holds.ReturnedRanges().front().handover.empty());
}

// Guards against lost holds after a restart of the node while its target keeps
// running and holds its keys.
TEST_CASE_FIXTURE(Fixture, "a new process keeps the holds of its target") {
  PollingHoldTracker restarted(clock, kLease);
  restarted.SetAssignments({MakeOwnedAssignment(10, 20, 5)});
  restarted.OnReport({{{{10, 20}, 5}}, {}});
  const auto reply =
      restarted.MakeGrantReply(clock.Now(), clock.Now() + kLease);
  REQUIRE(reply.has_value());
  REQUIRE(reply->ranges.size() == 1);
  CHECK(reply->ranges.front().handover.empty());
  CHECK(restarted.MayServe(15));
}

TEST_CASE_FIXTURE(Fixture,
                  "ranges that are not assigned to the target are released") {
  holds.OnReport({{{{30, 40}, 7}}, {}});
  CHECK(holds.HasPendingChanges());
  CHECK(Beat({{{{30, 40}, 7}}, {}}).ranges.empty());
}

// Guards against holds that the target releases because a reply can't list all
// ranges: those that it already holds are listed first.
TEST_CASE_FIXTURE(Fixture, "a full reply lists held ranges first") {
  std::vector<SlotAssignment> owned;
  for (std::uint32_t i = 0; i < 60; ++i)
    owned.push_back(MakeOwnedAssignment(1000 + 2 * i, 1000 + 2 * i, 100 + i));
  holds.SetAssignments(owned);
  const auto first = Beat({});
  PollingHoldTracker::Report report;
  for (const PollingHoldTracker::GrantedRange& row : first.ranges)
    report.held.push_back({row.range, row.fence});
  std::vector<SlotAssignment> more;
  for (std::uint32_t i = 0; i < 200; ++i)
    more.push_back(MakeOwnedAssignment(2 * i, 2 * i, 300 + i));
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
