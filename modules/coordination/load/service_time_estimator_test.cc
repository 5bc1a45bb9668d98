#include "modules/coordination/load/service_time_estimator.h"

#include <doctest/doctest.h>

#include <chrono>

namespace citrongrade {

using std::chrono::milliseconds;

// Service times vary from 10 to 30 ms. If the mean decided, half of the
// requests sent 20 ms before their deadline would end after it.
TEST_CASE("the upper estimate covers nearly all service times") {
  ServiceTimeEstimator estimator{milliseconds(500)};
  int over_estimate = 0;
  for (int sample = 0; sample < 1000; ++sample) {
    const milliseconds latency(10 + sample * 7 % 21);
    over_estimate +=
        sample > 50 && latency > estimator.upper_estimate() ? 1 : 0;
    estimator.OnSample(latency);
  }
  CHECK(over_estimate == 0);
  CHECK(estimator.mean() > milliseconds(14));
  CHECK(estimator.mean() < milliseconds(26));
  CHECK(estimator.upper_estimate() < milliseconds(70));
}

}  // namespace citrongrade
