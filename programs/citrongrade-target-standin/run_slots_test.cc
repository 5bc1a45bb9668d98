#include "programs/citrongrade-target-standin/run_slots.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

#include "modules/coordination/manual_clock.h"
#include "modules/coordination/steady_clock.h"
#include "programs/citrongrade-target-standin/cancellation.h"

namespace citrongrade {

using std::chrono::milliseconds;

TEST_CASE("one runs, one waits, the third is shed") {
  const SteadyClock clock;
  const auto soon = clock.Now() + std::chrono::minutes(1);
  RunSlots slots(clock, 1, 1);
  Cancellation cancellation;
  REQUIRE(slots.Enter(soon, cancellation) == SlotOutcome::kEntered);
  SlotOutcome second = SlotOutcome::kShed;
  std::thread waiting([&] { second = slots.Enter(soon, cancellation); });
  while (slots.Load(milliseconds(0)).queued == 0)
    std::this_thread::yield();
  CHECK(slots.Enter(soon, cancellation) == SlotOutcome::kShed);
  SUBCASE("the waiting one enters once the first leaves") {
    slots.Leave();
    waiting.join();
    CHECK(second == SlotOutcome::kEntered);
  }
  SUBCASE("the waiting one is cancelled") {
    cancellation.Cancel();
    slots.Wake();
    waiting.join();
    CHECK(second == SlotOutcome::kCancelled);
  }
}

TEST_CASE("who waits past the deadline never enters") {
  const SteadyClock clock;
  RunSlots slots(clock, 1, 1);
  const Cancellation cancellation;
  REQUIRE(slots.Enter(clock.Now(), cancellation) == SlotOutcome::kEntered);
  CHECK(slots.Enter(clock.Now(), cancellation) == SlotOutcome::kDeadlinePassed);
}

TEST_CASE("a lagging report tells the past") {
  ManualClock clock;
  LaggingValue<int> value(clock, 1);
  clock.Advance(milliseconds(100));
  value.Set(2);
  clock.Advance(milliseconds(50));
  CHECK(value.Get(milliseconds(0)) == 2);
  CHECK(value.Get(milliseconds(60)) == 1);
}

}  // namespace citrongrade
