#include "modules/coordination/load/withdrawal_schedule.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;
using Batch = WithdrawalSchedule::Batch;

namespace {

constexpr milliseconds kGrace{5500};
constexpr milliseconds kShortLatency{200};
constexpr milliseconds kLongLatency{3000};

struct Fixture {
  void BeginShutdown() { schedule.BeginShutdown(clock.Now() + kGrace); }

  ManualClock clock;
  WithdrawalSchedule schedule{clock};
};

}  // namespace

// Guards against the withdrawal of requests that would have been answered in
// time, and against one that leaves no time for the response.
TEST_CASE("a request is withdrawn when less than its target latency is left") {
  Fixture fixture;
  WithdrawalSchedule& schedule = fixture.schedule;
  schedule.OnSent("a", "short", kShortLatency);
  schedule.OnSent("a", "long", kLongLatency);
  CHECK(schedule.TakeDue().empty());
  fixture.BeginShutdown();
  fixture.clock.Advance(kGrace - kLongLatency - milliseconds(1));
  CHECK(schedule.TakeDue().empty());
  fixture.clock.Advance(milliseconds(1));
  CHECK(schedule.TakeDue() == std::vector<Batch>{{"a", {"long"}}});
  schedule.OnEnded(2);
  fixture.clock.Advance(kLongLatency - WithdrawalSchedule::kMinLead);
  CHECK(schedule.TakeDue() == std::vector<Batch>{{"a", {"short"}}});
}

// Guards against a request that waits until the end because its withdrawal was
// lost or came before the request itself.
TEST_CASE("a withdrawal is repeated until its request has ended") {
  Fixture fixture;
  WithdrawalSchedule& schedule = fixture.schedule;
  const auto lost = schedule.OnSent("a", "lost", kShortLatency);
  schedule.OnSent("b", "other", kShortLatency);
  fixture.BeginShutdown();
  fixture.clock.Advance(kGrace - WithdrawalSchedule::kMinLead);
  CHECK(schedule.TakeDue().size() == 2);
  CHECK(schedule.TakeDue().empty());
  fixture.clock.Advance(WithdrawalSchedule::kRepeatInterval);
  CHECK(schedule.TakeDue() ==
        std::vector<Batch>{{"a", {"lost"}}, {"b", {"other"}}});
  schedule.OnEnded(lost);
  fixture.clock.Advance(WithdrawalSchedule::kRepeatInterval);
  CHECK(schedule.TakeDue() == std::vector<Batch>{{"b", {"other"}}});
}

// Guards against useless calls to a node of a build without withdrawals.
TEST_CASE("a node that doesn't know withdrawals is asked once") {
  Fixture fixture;
  WithdrawalSchedule& schedule = fixture.schedule;
  schedule.OnSent("old", "one", kShortLatency);
  schedule.OnSent("new", "two", kShortLatency);
  fixture.BeginShutdown();
  fixture.clock.Advance(kGrace - WithdrawalSchedule::kMinLead);
  CHECK(schedule.TakeDue().size() == 2);
  schedule.OnUnknownToNode("old");
  fixture.clock.Advance(WithdrawalSchedule::kRepeatInterval);
  CHECK(schedule.TakeDue() == std::vector<Batch>{{"new", {"two"}}});
}

// Guards against the withdrawal of requests whose own time limit ends before
// the shutdown, and of requests that have no name.
TEST_CASE("later requests and requests without an id are not withdrawn") {
  Fixture fixture;
  WithdrawalSchedule& schedule = fixture.schedule;
  schedule.OnSent("a", "", kShortLatency);
  fixture.BeginShutdown();
  schedule.OnSent("a", "later", kShortLatency);
  fixture.clock.Advance(kGrace);
  CHECK(schedule.TakeDue().empty());
  CHECK(schedule.outstanding() == 0);
}

}  // namespace citrongrade
