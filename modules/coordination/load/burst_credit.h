#pragma once

#include "modules/coordination/clock.h"

namespace citrongrade {

// Lets a rush wait as long as its deadlines allow, for as many requests as idle
// time before it has earned.
//
// Load pattern: the whole audience within one minute. The right length of a
// queue depends on why it grew. A rush ends, so waiting serves everyone; steady
// overload doesn't, so there waiting only makes every answer late. Without
// credit one bound must serve both: a short one refuses half the audience, a
// long one turns hours of overload into hours of answers at the deadline.
//
// Counted in seconds of one target slot. Earned at `earned_per_second` times
// the idle share of the target, so that a target which is always full earns
// none; spent by each request that waits longer than the standing bound. Starts
// full: a fresh node meets the rush too.
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

  // Call whenever the idle share of the target changes: what was earned until
  // now is counted at the share set before. 0 to 1.
  void SetIdleShare(double idle_share);

  // Spends `slot_seconds`; false, and nothing spent, when there are fewer.
  bool TrySpend(double slot_seconds);

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
