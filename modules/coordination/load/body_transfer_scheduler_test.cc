#include "modules/coordination/load/body_transfer_scheduler.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

// A link of 13 Mbit/s carries 81 kB in the time that bodies may be on the way.
constexpr double kRate = 13e6 / 8;
constexpr std::uint64_t kBytes = 40'000;

class Fixture {
 public:
  BodyTransferScheduler::Verdict Offer(
      std::uint64_t number,
      std::uint64_t bytes = kBytes,
      milliseconds aim = milliseconds(500),
      milliseconds latest = milliseconds(2000)) {
    return room.Offer({RequestTicket(number), bytes, clock.Now() + aim,
                       clock.Now() + latest});
  }

  ManualClock clock;
  BodyTransferScheduler room{clock, kRate};
};

}  // namespace

// Calls of some hundred bytes stood behind as many bodies as came.
TEST_CASE_FIXTURE(Fixture, "no more bodies are on the way than fill the link") {
  CHECK(Offer(1) == BodyTransferScheduler::Verdict::kGranted);
  CHECK(Offer(2) == BodyTransferScheduler::Verdict::kGranted);
  CHECK(Offer(3) == BodyTransferScheduler::Verdict::kQueued);
  CHECK(Offer(4, 100) == BodyTransferScheduler::Verdict::kQueued);
  CHECK(room.Poll().granted.empty());
  room.OnFinished(RequestTicket(1));
  const BodyTransferScheduler::Changes changes = room.Poll();
  REQUIRE(changes.granted.size() == 2);
  CHECK(changes.granted[0] == RequestTicket(3));
  CHECK(room.bytes_in_flight() == 2 * kBytes + 100);
}

// A body longer than all the room would never be sent.
TEST_CASE_FIXTURE(Fixture, "one body is let in however long it is") {
  CHECK(Offer(1, 10 * kBytes) == BodyTransferScheduler::Verdict::kGranted);
  CHECK(Offer(2, 10 * kBytes) == BodyTransferScheduler::Verdict::kQueued);
  room.OnFinished(RequestTicket(1));
  CHECK(room.Poll().granted.size() == 1);
}

// Its caller would be told at the end of its time what was known at its start.
TEST_CASE_FIXTURE(Fixture, "what can't come in time is refused at the offer") {
  for (std::uint64_t number = 1; number <= 4; ++number)
    CHECK(Offer(number) != BodyTransferScheduler::Verdict::kRefused);
  CHECK(Offer(5, kBytes, milliseconds(50), milliseconds(120)) ==
        BodyTransferScheduler::Verdict::kRefused);
  CHECK(room.DrainTime() > milliseconds(90));
}

// A link that carries other things too drains slower than its rate says.
TEST_CASE_FIXTURE(Fixture,
                  "what has waited too long is refused when it shows") {
  Offer(1);
  Offer(2);
  CHECK(Offer(3, kBytes, milliseconds(50), milliseconds(200)) ==
        BodyTransferScheduler::Verdict::kQueued);
  clock.Advance(milliseconds(180));
  const BodyTransferScheduler::Changes changes = room.Poll();
  REQUIRE(changes.refused.size() == 1);
  CHECK(changes.refused[0] == RequestTicket(3));
  CHECK(room.waiting() == 0);
  CHECK(room.DrainTime() < milliseconds(60));
}

// First come, first served: in a queue that lasts everything comes late.
TEST_CASE_FIXTURE(Fixture, "a body that has missed its aim lets others pass") {
  Offer(1, 2 * kBytes);
  Offer(2, kBytes, milliseconds(100));
  clock.Advance(milliseconds(200));
  Offer(3, kBytes);
  Offer(4, kBytes);
  room.OnFinished(RequestTicket(1));
  const BodyTransferScheduler::Changes changes = room.Poll();
  REQUIRE(changes.granted.size() == 2);
  CHECK(changes.granted[0] == RequestTicket(3));
  CHECK(changes.granted[1] == RequestTicket(4));
  room.OnFinished(RequestTicket(3));
  CHECK(room.Poll().granted.size() == 1);
}

// A sender that went away would keep its room, or its place, for good.
TEST_CASE_FIXTURE(Fixture, "what ends gives back its room or its place") {
  Offer(1);
  Offer(2);
  Offer(3);
  room.OnFinished(RequestTicket(3));
  CHECK(room.waiting() == 0);
  room.OnFinished(RequestTicket(2));
  room.OnFinished(RequestTicket(2));
  CHECK(room.bytes_in_flight() == kBytes);
  CHECK(Offer(4) == BodyTransferScheduler::Verdict::kGranted);
}

}  // namespace citrongrade
