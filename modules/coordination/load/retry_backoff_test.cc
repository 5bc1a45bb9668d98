#include "modules/coordination/load/retry_backoff.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace citrongrade {

using std::chrono::milliseconds;

// A thousand requests fail at one moment. Without jitter they retry at one
// moment, at every step.
TEST_CASE("requests that failed together don't retry together") {
  std::mt19937_64 random(1);
  RetryBackoff backoff(random, {milliseconds(10), milliseconds(1000)});
  std::set<milliseconds> delays;
  for (int request = 0; request < 1000; ++request) {
    delays.insert(backoff.Delay(6, milliseconds(0)));
  }
  CHECK(delays.size() > 300);
  CHECK(*delays.rbegin() <= milliseconds(640));
}

TEST_CASE("delays stay between retry_after and the longest backoff above it") {
  std::mt19937_64 random(1);
  RetryBackoff backoff(random, {milliseconds(10), milliseconds(1000)});
  for (unsigned retry = 0; retry < 100; ++retry) {
    const milliseconds delay = backoff.Delay(retry, milliseconds(250));
    CHECK(delay >= milliseconds(250));
    CHECK(delay <= milliseconds(1250));
  }
}

}  // namespace citrongrade
