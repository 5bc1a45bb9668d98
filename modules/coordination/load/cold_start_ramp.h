#pragma once

#include <chrono>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Limits the share of its capacity that a newly started target is given. The
// share grows linearly from `initial_share` to 1 over `duration`.
//
// Load pattern: a cold target joins during a burst. It has no outstanding
// requests, so every least-load picker sends it everything at once, while its
// caches are empty and each request is at its slowest: it stalls, times out, is
// ejected and comes back cold. The load patterns of load_policy_benchmark run
// as well without the ramp (docs/design/load-decisions.md), so its values are a
// precaution and not a measurement.
//
// Thread-confined.
class ColdStartRamp {
 public:
  struct Parameters {
    double initial_share = 0.25;
    std::chrono::milliseconds duration{10'000};

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  // Starts the ramp at the current time.
  ColdStartRamp(const Clock& clock, const Parameters& parameters);

  // A completed ramp, for a target that is known to be warm.
  static ColdStartRamp Finished(const Clock& clock);

  double Share() const;

 private:
  const Clock* m_clock;
  Parameters m_parameters;
  Clock::TimePoint m_started;
};

}  // namespace citrongrade
