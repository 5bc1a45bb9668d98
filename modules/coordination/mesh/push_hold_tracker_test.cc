#include "modules/coordination/mesh/push_hold_tracker.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"
#include "modules/coordination/testing/owned_runs.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLease{1900};
// What an earlier process granted has run out by then.
constexpr milliseconds kLater{3000};

struct Fixture {
  Fixture() { clock.Advance(kLater); }

  PushHoldTracker::Grant GrantOne() {
    const auto due = book.DueGrants(clock.Now() + kLease);
    REQUIRE(due.size() == 1);
    return due.front();
  }

  void Hold(std::uint32_t first, std::uint32_t last, std::uint64_t fence) {
    book.SetAssignments({MakeOwnedRun(first, last, fence)});
    book.OnGranted(GrantOne().id);
  }

  ManualClock clock;
  PushHoldTracker book{clock};
};

}  // namespace

TEST_CASE_FIXTURE(Fixture,
                  "keys are served once granted, until the hold ends") {
  book.SetAssignments({MakeOwnedRun(10, 20, 5)});
  CHECK(book.IsAwaitingGrant(15));
  CHECK_FALSE(book.MayServe(15));
  const PushHoldTracker::Grant grant = GrantOne();
  CHECK(grant.handover == "from-before");
  CHECK(grant.hold < kLease);
  book.OnGranted(grant.id);
  CHECK(book.MayServe(15));
  CHECK_FALSE(book.MayServe(21));
  clock.Advance(grant.hold);
  CHECK_FALSE(book.MayServe(15));
}

TEST_CASE_FIXTURE(Fixture,
                  "a hold is renewed by the same grant while the lease lasts") {
  Hold(10, 20, 5);
  CHECK(book.DueGrants(clock.Now() + kLease).empty());
  clock.Advance(PushHoldTracker::kRenewalInterval);
  const PushHoldTracker::Grant renewal = GrantOne();
  CHECK(renewal.range == SlotRange{10, 20});
  CHECK(renewal.fence == 5);
  book.OnGranted(renewal.id);
  clock.Advance(PushHoldTracker::kRenewalInterval);
  // The lease has all but run out: what is left is not worth a hold.
  CHECK(book.DueGrants(clock.Now() + PushHoldTracker::kCallTimeout).empty());
}

TEST_CASE_FIXTURE(Fixture, "a part is given back with the target's handover") {
  Hold(10, 20, 5);
  book.SetAssignments({MakeOwnedRun(10, 11, 5), MakeMovingRun(12, 13, 5),
                       MakeOwnedRun(14, 20, 5)});
  CHECK_FALSE(book.MayServe(12));
  CHECK(book.IsBeingReleased(13));
  CHECK(book.MayServe(11));
  CHECK(book.MayServe(14));
  const auto due = book.DueReleases();
  REQUIRE(due.size() == 1);
  CHECK(due.front().range == SlotRange{12, 13});
  CHECK(book.ReturnedRanges().empty());
  book.OnReleased(due.front().id, "token");
  const auto returned = book.ReturnedRanges();
  REQUIRE(returned.size() == 1);
  CHECK(returned.front().handover == "token");
  // It is reported until the view shows another owner, and never granted again.
  CHECK(book.ReturnedRanges().size() == 1);
  clock.Advance(PushHoldTracker::kRenewalInterval);
  for (const PushHoldTracker::Grant& grant :
       book.DueGrants(clock.Now() + kLease))
    CHECK_FALSE(grant.range.Overlaps({12, 13}));
  book.SetAssignments({MakeOwnedRun(10, 11, 5), MakeOwnedRun(14, 20, 5)});
  CHECK(book.ReturnedRanges().empty());
}

// Two targets hold the same key: a renewal got no answer, the keys were given
// back and went to another target, and then the first one carried the renewal
// out. Its time counts from its arrival, so waiting it out is enough.
TEST_CASE_FIXTURE(
    Fixture,
    "keys are not given back while a grant may still take effect") {
  Hold(10, 20, 5);
  clock.Advance(PushHoldTracker::kRenewalInterval);
  const PushHoldTracker::Grant renewal = GrantOne();
  clock.Advance(PushHoldTracker::kCallTimeout);
  book.OnGrantUnanswered(renewal.id);
  book.SetAssignments({MakeMovingRun(10, 20, 5)});
  const auto due = book.DueReleases();
  REQUIRE(due.size() == 1);
  book.OnReleased(due.front().id, "token");
  CHECK(book.ReturnedRanges().empty());
  clock.Advance(renewal.hold);
  CHECK(book.ReturnedRanges().empty());
  clock.Advance(milliseconds(100));
  CHECK(book.ReturnedRanges().size() == 1);
}

// A node restarts between an order to give keys back and the release. The new
// process has granted nothing; its target still holds what the old one granted.
TEST_CASE("a process that has just started asks its target to release") {
  ManualClock clock;
  PushHoldTracker book(clock);
  book.SetAssignments({MakeMovingRun(10, 20, 5)});
  CHECK(book.ReturnedRanges().empty());
  const auto due = book.DueReleases();
  REQUIRE(due.size() == 1);
  book.OnReleased(due.front().id, "");
  CHECK(book.ReturnedRanges().empty());
  clock.Advance(kLater);
  const auto returned = book.ReturnedRanges();
  REQUIRE(returned.size() == 1);
  CHECK(returned.front().handover == "from-before");
}

TEST_CASE_FIXTURE(Fixture,
                  "a release that is never answered ends with the hold") {
  Hold(10, 20, 5);
  book.SetAssignments({MakeMovingRun(10, 20, 5)});
  const auto due = book.DueReleases();
  book.OnReleaseUnanswered(due.front().id);
  CHECK(book.ReturnedRanges().empty());
  clock.Advance(kLease + milliseconds(50));
  const auto returned = book.ReturnedRanges();
  REQUIRE(returned.size() == 1);
  CHECK(returned.front().handover.empty());
}

// A leader took the keys away and is gone before that was stored. The next one
// goes by the record, where they still are to move. What the target may hold by
// a grant that was under way then must be waited for before they are given
// back.
TEST_CASE_FIXTURE(Fixture,
                  "keys that come back to be released wait for old grants") {
  Hold(10, 20, 5);
  clock.Advance(PushHoldTracker::kRenewalInterval);
  const PushHoldTracker::Grant renewal = GrantOne();
  book.SetAssignments({});
  book.SetAssignments({MakeMovingRun(10, 20, 5)});
  CHECK_FALSE(book.MayServe(15));
  CHECK(book.DueGrants(clock.Now() + kLease).empty());
  const auto due = book.DueReleases();
  REQUIRE(due.size() == 1);
  book.OnReleased(due.front().id, "token");
  CHECK(book.ReturnedRanges().empty());
  clock.Advance(renewal.hold + PushHoldTracker::kCallTimeout +
                milliseconds(100));
  CHECK(book.ReturnedRanges().size() == 1);
}

// Keys that were to move were refused for over a second: a grant that had been
// held back counted as one that might still arrive.
TEST_CASE_FIXTURE(Fixture, "a grant that was not sent holds up no release") {
  Hold(10, 20, 5);
  clock.Advance(PushHoldTracker::kRenewalInterval);
  book.OnGrantNotSent(GrantOne().id);
  CHECK(book.DueGrants(clock.Now() + kLease).empty());
  book.SetAssignments({MakeMovingRun(10, 20, 5)});
  const auto due = book.DueReleases();
  REQUIRE(due.size() == 1);
  book.OnReleased(due.front().id, "token");
  CHECK(book.ReturnedRanges().size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a grant that the target refuses is given up") {
  book.SetAssignments({MakeOwnedRun(10, 20, 5)});
  book.OnGrantRefused(GrantOne().id);
  CHECK_FALSE(book.MayServe(15));
  CHECK(book.ReturnedRanges().size() == 1);
}

// Guards against two holders: an earlier process of the node granted by a
// longer lease, and the grant arrives after this process's release.
TEST_CASE("a new process waits as long as its earlier ones' leases may last") {
  constexpr milliseconds kLongest{2800};
  ManualClock clock;
  PushHoldTracker book(clock);
  book.SetMaxLease(kLongest);
  book.SetAssignments({MakeMovingRun(10, 20, 5)});
  const auto due = book.DueReleases();
  REQUIRE(due.size() == 1);
  book.OnReleased(due.front().id, "token");
  clock.Advance(kLongest - milliseconds(1));
  CHECK(book.ReturnedRanges().empty());
  clock.Advance(milliseconds(1));
  CHECK(book.ReturnedRanges().size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "what is left of a hold is what a new run has") {
  book.SetAssignments({MakeOwnedRun(10, 20, 5)});
  CHECK(book.RemainingHold(15) == Clock::Duration::zero());
  const PushHoldTracker::Grant grant = GrantOne();
  book.OnGranted(grant.id);
  const Clock::Duration granted = book.RemainingHold(15);
  CHECK(granted <= grant.hold);
  clock.Advance(milliseconds(100));
  CHECK(book.RemainingHold(15) == granted - milliseconds(100));
}

}  // namespace citrongrade
