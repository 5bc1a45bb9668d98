#include "modules/coordination/load/retry_budgets.h"

#include <doctest/doctest.h>

namespace citrongrade {
namespace {

constexpr double kRetryRatio = 0.1;

int CountRetries(RetryBudget& budget) {
  int retries = 0;
  while (budget.TryAcquire(RetryAllowance()))
    ++retries;
  return retries;
}

// Guards against a failing service that gets the calls of repeated runs beyond
// its share: all retries of a busy service went to the one route that calls.
TEST_CASE("a route repeats no more than its share of its own requests") {
  RetryBudgets budgets(kRetryRatio);
  budgets.SetBurst(2);
  int repeated = 0;
  for (int i = 0; i < 1000; ++i) {
    for (int other = 0; other < 4; ++other)
      budgets.For("sampling", "lock").OnFirstAttempt();
    budgets.For("sampling", "extract").OnFirstAttempt();
    repeated += CountRetries(budgets.For("sampling", "extract"));
  }
  CHECK(repeated <= 1000 * kRetryRatio + 2);
  CHECK(repeated >= 0.9 * 1000 * kRetryRatio);
}

// Guards against a mesh that refills all its budgets whenever a node joins.
TEST_CASE("another burst gives no spent tokens back") {
  RetryBudgets budgets(kRetryRatio);
  budgets.SetBurst(4);
  CHECK(CountRetries(budgets.For("sampling", "lock")) == 4);
  budgets.SetBurst(5);
  CHECK(CountRetries(budgets.For("sampling", "lock")) == 0);
}

TEST_CASE("the routes of a service divide its burst") {
  RetryBudgets budgets(kRetryRatio);
  budgets.SetBurst(4);
  budgets.For("sampling", "lock");
  CHECK(CountRetries(budgets.For("sampling", "extract")) == 2);
  CHECK(CountRetries(budgets.For("sampling", "lock")) == 2);
  CHECK(CountRetries(budgets.For("storage", "upload")) == 4);
}

}  // namespace
}  // namespace citrongrade
