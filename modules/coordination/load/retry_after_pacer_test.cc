#include "modules/coordination/load/retry_after_pacer.h"

#include <doctest/doctest.h>

#include <map>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

// Five hundred callers are refused at one moment by a target that finishes a
// hundred requests per second. With equal Retry-After values, all would return
// at one moment.
TEST_CASE("refused callers return no faster than they can be served") {
  ManualClock clock;
  std::mt19937_64 random(1);
  RetryAfterPacer pacer(clock, random, RetryAfterPacer::Parameters{});
  std::map<std::int64_t, int> returns_by_second;
  for (int caller = 0; caller < 500; ++caller) {
    ++returns_by_second[pacer.NextRetryAfter(100, milliseconds(0)) /
                        std::chrono::seconds(1)];
  }
  for (const auto& [second, returns] : returns_by_second) {
    CHECK(returns <= 27);
  }
}

TEST_CASE("beyond the longest Retry-After callers are spread at random") {
  ManualClock clock;
  std::mt19937_64 random(1);
  RetryAfterPacer pacer(clock, random, RetryAfterPacer::Parameters{});
  std::map<std::int64_t, int> returns_by_second;
  for (int caller = 0; caller < 20'000; ++caller) {
    const milliseconds retry_after = pacer.NextRetryAfter(100, milliseconds(0));
    CHECK(retry_after <= milliseconds(20'001));
    ++returns_by_second[retry_after / std::chrono::seconds(1)];
  }
  CHECK(returns_by_second[15] < 3000);
}

TEST_CASE("no Retry-After is shorter than the expected wait") {
  ManualClock clock;
  std::mt19937_64 random(1);
  RetryAfterPacer pacer(clock, random, RetryAfterPacer::Parameters{});
  CHECK(pacer.NextRetryAfter(100, milliseconds(700)) >= milliseconds(700));
}

}  // namespace citrongrade
