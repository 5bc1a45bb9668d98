#include "modules/coordination/mesh/hold_book.h"

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

  HoldBook::Grant GrantOne() {
    const auto due = book.DueGrants(clock.Now() + kLease);
    REQUIRE(due.size() == 1);
    return due.front();
  }

  void Hold(std::uint32_t first, std::uint32_t last, std::uint64_t fence) {
    book.SetOwned({MakeOwnedRun(first, last, fence)});
    book.OnGranted(GrantOne().id);
  }

  ManualClock clock;
  HoldBook book{clock};
};

}  // namespace

TEST_CASE_FIXTURE(Fixture,
                  "keys are served once granted, until the hold ends") {
  book.SetOwned({MakeOwnedRun(10, 20, 5)});
  CHECK(book.IsComing(15));
  CHECK_FALSE(book.MayServe(15));
  const HoldBook::Grant grant = GrantOne();
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
  clock.Advance(HoldBook::kRenewal);
  const HoldBook::Grant renewal = GrantOne();
  CHECK(renewal.range == SlotRange{10, 20});
  CHECK(renewal.fence == 5);
  book.OnGranted(renewal.id);
  clock.Advance(HoldBook::kRenewal);
  // The lease has all but run out: what is left is not worth a hold.
  CHECK(book.DueGrants(clock.Now() + HoldBook::kCallTimeout).empty());
}

TEST_CASE_FIXTURE(Fixture, "a part is given back with the target's handover") {
  Hold(10, 20, 5);
  book.SetOwned({MakeOwnedRun(10, 11, 5), MakeMovingRun(12, 13, 5),
                 MakeOwnedRun(14, 20, 5)});
  CHECK_FALSE(book.MayServe(12));
  CHECK(book.IsLeaving(13));
  CHECK(book.MayServe(11));
  CHECK(book.MayServe(14));
  const auto due = book.DueReleases();
  REQUIRE(due.size() == 1);
  CHECK(due.front().range == SlotRange{12, 13});
  CHECK(book.Returned().empty());
  book.OnReleased(due.front().id, "token");
  const auto returned = book.Returned();
  REQUIRE(returned.size() == 1);
  CHECK(returned.front().handover == "token");
  // It is reported until the view shows another owner, and never granted again.
  CHECK(book.Returned().size() == 1);
  clock.Advance(HoldBook::kRenewal);
  for (const HoldBook::Grant& grant : book.DueGrants(clock.Now() + kLease))
    CHECK_FALSE(grant.range.Overlaps({12, 13}));
  book.SetOwned({MakeOwnedRun(10, 11, 5), MakeOwnedRun(14, 20, 5)});
  CHECK(book.Returned().empty());
}

// Two targets hold the same key: a renewal got no answer, the keys were given
// back and went to another target, and then the first one carried the renewal
// out. Its time counts from its arrival, so waiting it out is enough.
TEST_CASE_FIXTURE(
    Fixture,
    "keys are not given back while a grant may still take effect") {
  Hold(10, 20, 5);
  clock.Advance(HoldBook::kRenewal);
  const HoldBook::Grant renewal = GrantOne();
  clock.Advance(HoldBook::kCallTimeout);
  book.OnGrantUnanswered(renewal.id);
  book.SetOwned({MakeMovingRun(10, 20, 5)});
  const auto due = book.DueReleases();
  REQUIRE(due.size() == 1);
  book.OnReleased(due.front().id, "token");
  CHECK(book.Returned().empty());
  clock.Advance(renewal.hold);
  CHECK(book.Returned().empty());
  clock.Advance(milliseconds(100));
  CHECK(book.Returned().size() == 1);
}

// A node restarts between an order to give keys back and the release. The new
// process has granted nothing; its target still holds what the old one granted.
TEST_CASE("a process that has just started asks its target to release") {
  ManualClock clock;
  HoldBook book(clock);
  book.SetOwned({MakeMovingRun(10, 20, 5)});
  CHECK(book.Returned().empty());
  const auto due = book.DueReleases();
  REQUIRE(due.size() == 1);
  book.OnReleased(due.front().id, "");
  CHECK(book.Returned().empty());
  clock.Advance(kLater);
  const auto returned = book.Returned();
  REQUIRE(returned.size() == 1);
  CHECK(returned.front().handover == "from-before");
}

TEST_CASE_FIXTURE(Fixture,
                  "a release that is never answered ends with the hold") {
  Hold(10, 20, 5);
  book.SetOwned({MakeMovingRun(10, 20, 5)});
  const auto due = book.DueReleases();
  book.OnReleaseUnanswered(due.front().id);
  CHECK(book.Returned().empty());
  clock.Advance(kLease + milliseconds(50));
  const auto returned = book.Returned();
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
  clock.Advance(HoldBook::kRenewal);
  const HoldBook::Grant renewal = GrantOne();
  book.SetOwned({});
  book.SetOwned({MakeMovingRun(10, 20, 5)});
  CHECK_FALSE(book.MayServe(15));
  CHECK(book.DueGrants(clock.Now() + kLease).empty());
  const auto due = book.DueReleases();
  REQUIRE(due.size() == 1);
  book.OnReleased(due.front().id, "token");
  CHECK(book.Returned().empty());
  clock.Advance(renewal.hold + HoldBook::kCallTimeout + milliseconds(100));
  CHECK(book.Returned().size() == 1);
}

// Keys that were to move were refused for over a second: a grant that had been
// held back counted as one that might still arrive.
TEST_CASE_FIXTURE(Fixture, "a grant that was not sent holds up no release") {
  Hold(10, 20, 5);
  clock.Advance(HoldBook::kRenewal);
  book.OnGrantNotSent(GrantOne().id);
  CHECK(book.DueGrants(clock.Now() + kLease).empty());
  book.SetOwned({MakeMovingRun(10, 20, 5)});
  const auto due = book.DueReleases();
  REQUIRE(due.size() == 1);
  book.OnReleased(due.front().id, "token");
  CHECK(book.Returned().size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a grant that the target refuses is given up") {
  book.SetOwned({MakeOwnedRun(10, 20, 5)});
  book.OnGrantRefused(GrantOne().id);
  CHECK_FALSE(book.MayServe(15));
  CHECK(book.Returned().size() == 1);
}

// Guards against two holders: an earlier process of the node granted by a
// longer lease, and the grant arrives after this process's release.
TEST_CASE("a new process waits as long as its earlier ones' leases may last") {
  constexpr milliseconds kLongest{2800};
  ManualClock clock;
  HoldBook book(clock);
  book.SetLongestLease(kLongest);
  book.SetOwned({MakeMovingRun(10, 20, 5)});
  const auto due = book.DueReleases();
  REQUIRE(due.size() == 1);
  book.OnReleased(due.front().id, "token");
  clock.Advance(kLongest - milliseconds(1));
  CHECK(book.Returned().empty());
  clock.Advance(milliseconds(1));
  CHECK(book.Returned().size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "what is left of a hold is what a new run has") {
  book.SetOwned({MakeOwnedRun(10, 20, 5)});
  CHECK(book.HoldLeft(15) == Clock::Duration::zero());
  const HoldBook::Grant grant = GrantOne();
  book.OnGranted(grant.id);
  const Clock::Duration granted = book.HoldLeft(15);
  CHECK(granted <= grant.hold);
  clock.Advance(milliseconds(100));
  CHECK(book.HoldLeft(15) == granted - milliseconds(100));
}

}  // namespace citrongrade
