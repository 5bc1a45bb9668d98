#include "modules/coordination/load/memory_budget.h"

#include <doctest/doctest.h>

namespace citrongrade {
namespace {

constexpr std::uint64_t kMegabyte = std::uint64_t{1} << 20U;

// Guards against a process that is killed for the memory of uploads that
// arrive together.
TEST_CASE("bodies beyond the budget get no memory until others are answered") {
  MemoryBudget budget(40 * kMegabyte);
  MemoryBudget::Reservation first(budget);
  CHECK(first.TryGrowTo(30 * kMegabyte));
  {
    MemoryBudget::Reservation second(budget);
    CHECK(second.TryGrowTo(10 * kMegabyte));
    MemoryBudget::Reservation third(budget);
    CHECK_FALSE(third.TryGrowTo(1));
    CHECK(budget.used() == 40 * kMegabyte);
  }
  CHECK(budget.used() == 30 * kMegabyte);
  MemoryBudget::Reservation fourth(budget);
  CHECK(fourth.TryGrowTo(10 * kMegabyte));
}

// Guards against a body in chunks whose length nobody knows beforehand.
TEST_CASE("a reservation grows with its body and is returned as a whole") {
  MemoryBudget budget(10 * kMegabyte);
  {
    MemoryBudget::Reservation body(budget);
    CHECK(body.TryGrowTo(4 * kMegabyte));
    CHECK(body.TryGrowTo(10 * kMegabyte));
    CHECK_FALSE(body.TryGrowTo(10 * kMegabyte + 1));
    CHECK(body.TryGrowTo(2 * kMegabyte));
    CHECK(budget.used() == 10 * kMegabyte);
  }
  CHECK(budget.used() == 0);
}

}  // namespace
}  // namespace citrongrade
