#pragma once

#include <chrono>

#include "modules/coordination/clock.h"

namespace citrongrade {

// The share of its capacity that a target which has just started may be given.
//
// Load pattern: a cold target joins in a rush. It has nothing outstanding, so
// every picker of least load sends it everything at once, while its caches are
// empty and each request is at its slowest: it stalls, times out, gets ejected,
// and comes back cold. Grows linearly from `initial_share` to 1. The patterns
// of load_policy_benchmark run as well without it
// (docs/design/load-decisions.md): its values are a precaution, not a
// measurement.
//
// Thread-confined.
class ColdStartRamp {
 public:
  struct Parameters {
    double initial_share = 0.25;
    std::chrono::milliseconds duration{10'000};

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  // The ramp begins now.
  ColdStartRamp(const Clock& clock, const Parameters& parameters);

  // For a target that is known to be warm.
  static ColdStartRamp Finished(const Clock& clock);

  double Share() const;

 private:
  const Clock* m_clock;
  Parameters m_parameters;
  Clock::TimePoint m_started;
};

}  // namespace citrongrade
