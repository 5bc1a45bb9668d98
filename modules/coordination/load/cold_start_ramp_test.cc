#include "modules/coordination/load/cold_start_ramp.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

TEST_CASE("a cold target starts at a quarter and reaches full capacity") {
  ManualClock clock;
  const ColdStartRamp ramp(clock, {0.25, std::chrono::seconds(10)});
  CHECK(ramp.Share() == doctest::Approx(0.25));
  clock.Advance(std::chrono::seconds(5));
  CHECK(ramp.Share() == doctest::Approx(0.625));
  clock.Advance(std::chrono::hours(1));
  CHECK(ramp.Share() == 1);
  CHECK(ColdStartRamp::Finished(clock).Share() == 1);
}

}  // namespace citrongrade
