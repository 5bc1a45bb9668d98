#include "modules/coordination/load/body_transfer_scheduler.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

// A link of 13 Mbit/s transfers 81 kB in kMaxInFlightTime.
constexpr double kRate = 13e6 / 8;
constexpr std::uint64_t kBytes = 40'000;

class Fixture {
 public:
  BodyTransferScheduler::Verdict Offer(
      std::uint64_t number,
      std::uint64_t bytes = kBytes,
      milliseconds soft_deadline = milliseconds(500),
      milliseconds deadline = milliseconds(2000)) {
    return scheduler.Offer({RequestTicket(number), bytes,
                            clock.Now() + soft_deadline,
                            clock.Now() + deadline});
  }

  ManualClock clock;
  BodyTransferScheduler scheduler{clock, kRate};
};

}  // namespace

// Without the limit, calls of a few hundred bytes were delayed behind all
// bodies that were sent at once.
TEST_CASE_FIXTURE(Fixture, "the bodies in flight stay within the link limit") {
  CHECK(Offer(1) == BodyTransferScheduler::Verdict::kGranted);
  CHECK(Offer(2) == BodyTransferScheduler::Verdict::kGranted);
  CHECK(Offer(3) == BodyTransferScheduler::Verdict::kQueued);
  CHECK(Offer(4, 100) == BodyTransferScheduler::Verdict::kQueued);
  CHECK(scheduler.Poll().granted.empty());
  scheduler.OnFinished(RequestTicket(1));
  const BodyTransferScheduler::Changes changes = scheduler.Poll();
  REQUIRE(changes.granted.size() == 2);
  CHECK(changes.granted[0] == RequestTicket(3));
  CHECK(scheduler.bytes_in_flight() == 2 * kBytes + 100);
}

// A body longer than the limit would otherwise never be sent.
TEST_CASE_FIXTURE(Fixture, "a single body is granted whatever its length") {
  CHECK(Offer(1, 10 * kBytes) == BodyTransferScheduler::Verdict::kGranted);
  CHECK(Offer(2, 10 * kBytes) == BodyTransferScheduler::Verdict::kQueued);
  scheduler.OnFinished(RequestTicket(1));
  CHECK(scheduler.Poll().granted.size() == 1);
}

// Otherwise its caller would be refused at its deadline for what was known at
// the start.
TEST_CASE_FIXTURE(Fixture, "a body that would arrive late is refused at once") {
  for (std::uint64_t number = 1; number <= 4; ++number)
    CHECK(Offer(number) != BodyTransferScheduler::Verdict::kRefused);
  CHECK(Offer(5, kBytes, milliseconds(50), milliseconds(120)) ==
        BodyTransferScheduler::Verdict::kRefused);
  CHECK(scheduler.DrainTime() > milliseconds(90));
}

// A link that also carries other traffic drains more slowly than its rate
// suggests.
TEST_CASE_FIXTURE(Fixture,
                  "a queued body is refused once it would arrive late") {
  Offer(1);
  Offer(2);
  CHECK(Offer(3, kBytes, milliseconds(50), milliseconds(200)) ==
        BodyTransferScheduler::Verdict::kQueued);
  clock.Advance(milliseconds(180));
  const BodyTransferScheduler::Changes changes = scheduler.Poll();
  REQUIRE(changes.refused.size() == 1);
  CHECK(changes.refused[0] == RequestTicket(3));
  CHECK(scheduler.waiting() == 0);
  CHECK(scheduler.DrainTime() < milliseconds(60));
}

// In order of arrival, a queue that lasts would make every body late.
TEST_CASE_FIXTURE(Fixture, "a body past its soft deadline lets others pass") {
  Offer(1, 2 * kBytes);
  Offer(2, kBytes, milliseconds(100));
  clock.Advance(milliseconds(200));
  Offer(3, kBytes);
  Offer(4, kBytes);
  scheduler.OnFinished(RequestTicket(1));
  const BodyTransferScheduler::Changes changes = scheduler.Poll();
  REQUIRE(changes.granted.size() == 2);
  CHECK(changes.granted[0] == RequestTicket(3));
  CHECK(changes.granted[1] == RequestTicket(4));
  scheduler.OnFinished(RequestTicket(3));
  CHECK(scheduler.Poll().granted.size() == 1);
}

// A sender that has gone would otherwise keep its share of the link, or its
// place in the queue, for good.
TEST_CASE_FIXTURE(Fixture, "a finished body leaves the link or the queue") {
  Offer(1);
  Offer(2);
  Offer(3);
  scheduler.OnFinished(RequestTicket(3));
  CHECK(scheduler.waiting() == 0);
  scheduler.OnFinished(RequestTicket(2));
  scheduler.OnFinished(RequestTicket(2));
  CHECK(scheduler.bytes_in_flight() == kBytes);
  CHECK(Offer(4) == BodyTransferScheduler::Verdict::kGranted);
}

}  // namespace citrongrade
