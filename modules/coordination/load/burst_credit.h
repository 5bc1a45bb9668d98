#pragma once

#include "modules/coordination/clock.h"

namespace citrongrade {

// Credit, earned by idle time, that lets requests wait up to their deadline
// during a burst.
//
// Load pattern: the whole audience arrives within one minute. The right length
// of a queue depends on why it grew. A burst ends, so queueing serves everyone;
// steady overload doesn't end, so queueing only makes every answer late.
// Without credit one bound must serve both: a short one refuses half the
// audience, and a long one makes every answer of hours of overload come at its
// deadline.
//
// The credit is counted in seconds of run time at the target. It is earned at
// `refill_per_second` times the idle share of the target, so that a target
// which is always full earns none, and spent by each request that waits longer
// than the bound for steady overload. It starts full, since a new node may meet
// a burst too.
//
// Thread-confined.
class BurstCredit {
 public:
  struct Parameters {
    double capacity = 0;
    double refill_per_second = 0;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  BurstCredit(const Clock& clock, const Parameters& parameters);

  // Call this whenever the idle share of the target (0 to 1) changes: the
  // credit earned until now is computed with the previous share.
  void SetIdleShare(double idle_share);

  // Spends `run_seconds`. Returns false and spends nothing if less is
  // available.
  bool TrySpend(double run_seconds);

  double available() const { return m_available; }

 private:
  void Refill();

  const Clock& m_clock;
  Parameters m_parameters;
  double m_available;
  double m_idle_share = 0;
  Clock::TimePoint m_last_refill;
};

}  // namespace citrongrade
