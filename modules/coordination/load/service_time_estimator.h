#pragma once

#include "modules/coordination/clock.h"

namespace citrongrade {

// How long a target takes for one request: the smoothed mean and deviation of
// RFC 6298, as TCP keeps them for round trips.
//
// Load pattern: deadlines under saturation. With the mean alone, half of the
// requests sent close to their deadline end after it: work done for nobody.
//
// Thread-confined. Not for percentiles.
class ServiceTimeEstimator {
 public:
  // `initial` stands until the first sample.
  explicit ServiceTimeEstimator(Clock::Duration initial);

  void OnSample(Clock::Duration latency);

  Clock::Duration mean() const { return m_mean; }
  // Mean and four deviations: few requests take longer.
  Clock::Duration upper_estimate() const { return m_mean + 4 * m_deviation; }

 private:
  bool m_has_sample = false;
  Clock::Duration m_mean;
  Clock::Duration m_deviation{0};
};

}  // namespace citrongrade
