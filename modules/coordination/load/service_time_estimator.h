#pragma once

#include "modules/coordination/clock.h"

namespace citrongrade {

// Estimates how long a target takes for one request, as a smoothed mean and
// mean deviation. The method is that of RFC 6298 for TCP round-trip times.
//
// Use upper_estimate() to decide whether a request can still be answered before
// its deadline. At saturation many requests are sent close to their deadline;
// if the mean alone decided, half of them would end after it and their work
// would be wasted.
//
// Thread-confined. Not suitable for percentiles.
class ServiceTimeEstimator {
 public:
  // `initial` is the mean until the first sample arrives.
  explicit ServiceTimeEstimator(Clock::Duration initial);

  void OnSample(Clock::Duration latency);

  Clock::Duration mean() const { return m_mean; }
  // The mean plus four deviations; few requests take longer.
  Clock::Duration upper_estimate() const { return m_mean + 4 * m_deviation; }

 private:
  bool m_has_sample = false;
  Clock::Duration m_mean;
  Clock::Duration m_deviation{0};
};

}  // namespace citrongrade
