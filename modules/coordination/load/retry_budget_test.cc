#include "modules/coordination/load/retry_budget.h"

#include <doctest/doctest.h>

namespace citrongrade {

// Every request fails and would be retried. Without the budget the failing mesh
// gets twice its load; with it, a tenth more.
TEST_CASE("when all requests fail, retries stay a tenth of first attempts") {
  RetryBudget budget(RetryBudget::Parameters{});
  int retries = 0;
  for (int request = 0; request < 10'000; ++request) {
    budget.OnFirstAttempt();
    retries += budget.TryAcquire(RetryAllowance{2}) ? 1 : 0;
  }
  CHECK(retries <= 1010);
  CHECK(retries >= 990);
}

TEST_CASE("attempts used by earlier nodes count as well") {
  RetryBudget budget(RetryBudget::Parameters{});
  RetryAllowance allowance{2};
  allowance = allowance.AfterRetry().AfterRetry();
  CHECK_FALSE(budget.TryAcquire(allowance));
  CHECK(allowance.AfterRetry() == allowance);
  CHECK(budget.TryAcquire(RetryAllowance{1}));
}

}  // namespace citrongrade
