#include "modules/coordination/load/short_call_reserve.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kSlots = 40;
constexpr milliseconds kServiceTime{30};

// `count` requests arrive `interval` apart and run for kServiceTime.
void Arrive(ManualClock& clock,
            ShortCallReserve& reserve,
            int count,
            milliseconds interval) {
  for (int i = 0; i < count; ++i) {
    clock.Advance(interval);
    reserve.OnArrival();
    reserve.OnFinished(kServiceTime);
  }
}

}  // namespace

// 62.5 requests a second of 30 ms are 1.9 slots, with the square root 3.2.
TEST_CASE("the reserve is the demand plus its square root") {
  ManualClock clock;
  ShortCallReserve reserve(clock);
  Arrive(clock, reserve, 300, milliseconds(16));
  CHECK(reserve.Rate() > 58);
  CHECK(reserve.Rate() < 67);
  CHECK(reserve.ReservedOf(kSlots) == 4);
}

// Guards against a reserve that leaves long requests too little.
TEST_CASE("the reserve is at most a quarter of the slots") {
  ManualClock clock;
  ShortCallReserve reserve(clock);
  Arrive(clock, reserve, 3000, milliseconds(1));
  CHECK(reserve.ReservedOf(13) == 3);
  CHECK(reserve.ReservedOf(6) == 1);
  CHECK(reserve.ReservedOf(3) == 0);
}

// Guards against slots that are idle for a short request every other second.
TEST_CASE("rare short requests reserve nothing") {
  ManualClock clock;
  ShortCallReserve reserve(clock);
  Arrive(clock, reserve, 1, milliseconds(0));
  CHECK(reserve.ReservedOf(kSlots) == 0);
  Arrive(clock, reserve, 20, milliseconds(2000));
  clock.Advance(milliseconds(200));
  CHECK(reserve.ReservedOf(kSlots) == 0);
}

// Guards against slots that stay reserved after the calls have ended.
TEST_CASE("the reserve ends within a few seconds of the last request") {
  ManualClock clock;
  ShortCallReserve reserve(clock);
  Arrive(clock, reserve, 300, milliseconds(16));
  clock.Advance(milliseconds(2000));
  CHECK(reserve.ReservedOf(kSlots) <= 1);
  clock.Advance(milliseconds(2500));
  CHECK(reserve.ReservedOf(kSlots) == 0);
}

}  // namespace citrongrade
