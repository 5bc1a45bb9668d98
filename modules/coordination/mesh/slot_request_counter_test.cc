#include "modules/coordination/mesh/slot_request_counter.h"

#include <doctest/doctest.h>

namespace citrongrade {

TEST_CASE("requests of weight 1 are counted as they are") {
  SlotRequestCounter counter;
  for (int i = 0; i < 3; ++i)
    counter.Add(7, 1);
  counter.Add(9, 1);
  const std::vector<Heartbeat::SlotRequestCount> expected{{7, 3}, {9, 1}};
  CHECK(counter.Take() == expected);
  CHECK(counter.Take().empty());
}

// Guards against load that shows only once a slot alone has received ten calls,
// and then for all slots at once.
TEST_CASE("short requests for many slots are counted without delay") {
  constexpr std::uint32_t kSlots = 300;
  constexpr double kWeight = 0.1;
  SlotRequestCounter counter;
  for (int round = 0; round < 10; ++round) {
    for (std::uint32_t slot = 0; slot < kSlots / 10; ++slot)
      counter.Add(slot * 7 % kSlots, kWeight);
    std::uint32_t sum = 0;
    for (const Heartbeat::SlotRequestCount& count : counter.Take())
      sum += count.count;
    CHECK(sum >= 2);
    CHECK(sum <= 4);
  }
}

}  // namespace citrongrade
