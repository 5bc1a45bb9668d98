#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Estimates how long the long runs of a target's sharded routes take: the 95th
// percentile of the run times of each route, of which the longest counts.
//
// A run is aborted by its target when the hold that it had at its start ends,
// so leases are sized by this estimate and not by a mean. The estimate rises
// within a few long runs and falls slowly, by half a percent with each shorter
// run.
//
// Thread-confined. See also LeaseDurationController, which uses it.
class LongRunEstimator {
 public:
  explicit LongRunEstimator(const Clock& clock);

  void OnRun(const std::string& route, Clock::Duration run_time);

  // Zero if no route has had a run lately.
  Clock::Duration long_run() const;

 private:
  struct Route {
    Clock::Duration percentile{0};
    unsigned runs = 0;
    Clock::TimePoint last_run;
  };

  void RemoveUnusedRoutes();

  const Clock& m_clock;
  std::map<std::string, Route> m_routes;
};

}  // namespace citrongrade
