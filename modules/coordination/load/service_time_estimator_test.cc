#include "modules/coordination/load/service_time_estimator.h"

#include <doctest/doctest.h>

#include <chrono>

namespace citrongrade {

using std::chrono::milliseconds;

// Run times vary from 10 to 30 ms. Judged by their mean, half of those sent 20
// ms before their deadline would end after it.
TEST_CASE("the cautious time covers nearly all runs, the mean half of them") {
  ServiceTimeEstimator estimator{milliseconds(500)};
  int over_cautious = 0;
  for (int run = 0; run < 1000; ++run) {
    const milliseconds latency(10 + run * 7 % 21);
    over_cautious += run > 50 && latency > estimator.upper_estimate() ? 1 : 0;
    estimator.OnSample(latency);
  }
  CHECK(over_cautious == 0);
  CHECK(estimator.mean() > milliseconds(14));
  CHECK(estimator.mean() < milliseconds(26));
  CHECK(estimator.upper_estimate() < milliseconds(70));
}

}  // namespace citrongrade
