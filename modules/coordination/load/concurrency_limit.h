#pragma once

#include <chrono>
#include <cstddef>
#include <memory>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/work_class.h"

namespace citrongrade {

// How many requests one target may run at once.
//
// Load pattern: saturation, and a target whose real capacity differs from what
// it declares. Without a limit all excess work queues inside the target, first
// come first served, where it can neither be ordered nor dropped: the target
// spends its time on answers nobody waits for any more. A limit that trusts the
// declaration alone leaves capacity idle or keeps that queue.
//
// Starts at the declared slots. Each window compares mean latency with the
// best recent one (per class of work, since uploads take longer than lookups):
// up to kGrowBelow the limit grows by one, above kShrinkAbove it shrinks in
// proportion; what it has over the declared slots is given back by one above
// kDropExtraAbove. Places that only lengthen the target's own queue put short
// work behind long again: with growth up to 1.1 the p99 of short work among
// long was 70 ms, with 1.03 it is 58 ms. Nothing changes while the limit isn't
// in use. The best latency is learned only while at most the
// declared slots run; learned from a saturated target it would follow the queue
// up, and the limit with it. A cut below the declared slots is a trial: it is
// taken back when the next window did less work for it, as happens when latency
// has causes other than concurrency (a slow store). Never below half the slots.
// Thresholds: docs/design/load-decisions.md, "Concurrency limit".
//
// Thread-confined. Counts nothing itself: AdmissionController knows what runs.
class ConcurrencyLimit {
 public:
  struct Parameters {
    std::size_t declared_concurrency = 1;
    std::size_t declared_connections = 1;
    std::chrono::milliseconds window{500};
    std::size_t min_samples = 20;
    // Best latency is the least of this many kept periods.
    std::chrono::seconds baseline_period{10};
    std::size_t baseline_periods = 6;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  static constexpr double kGrowBelow = 1.03;
  static constexpr double kDropExtraAbove = 1.08;
  static constexpr double kShrinkAbove = 1.3;

  ConcurrencyLimit(const Clock& clock, const Parameters& parameters);
  ~ConcurrencyLimit();
  ConcurrencyLimit(const ConcurrencyLimit&) = delete;
  ConcurrencyLimit& operator=(const ConcurrencyLimit&) = delete;

  // `running` as it was just before this one ended, itself included.
  void OnFinished(WorkClass work_class,
                  Clock::Duration latency,
                  std::size_t running);

  // At least 1, at most the declared connections.
  std::size_t limit() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
