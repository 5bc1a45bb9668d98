#pragma once

#include <chrono>
#include <cstddef>
#include <memory>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/work_class.h"

namespace citrongrade {

// Adapts how many requests one target may run at once to the latency that is
// measured.
//
// Load pattern: saturation, and a target whose real capacity differs from what
// it declares. Without a limit all excess requests queue inside the target in
// order of arrival, where they can be neither reordered nor dropped: the target
// spends its time on answers whose callers have left. A limit that trusts the
// declaration alone leaves capacity idle or keeps that queue.
//
// The limit starts at the declared concurrency. Each window compares the mean
// latency with the best recent one, for each work class by itself, since
// uploads take longer than lookups. If the ratio of the two is below
// kGrowBelow, the limit grows by one; above kShrinkAbove it shrinks in
// proportion; above kDropExtraAbove it shrinks by one if it exceeds the
// declared concurrency. A limit that only lengthens the target's own queue
// makes short work wait behind long work: with growth up to a ratio of 1.1 the
// p99 of short work mixed with long was 70 ms, with 1.03 it is 58 ms. The limit
// doesn't change while it isn't fully used.
//
// The best latency is learned only while at most the declared concurrency is
// used; learned from a saturated target it would rise with the target's queue,
// and the limit with it. A cut below the declared concurrency is a trial. It is
// reverted if the throughput of the next window is lower, as happens when the
// latency has causes other than concurrency (such as a slow store). The limit
// never falls below half of the declared concurrency. Thresholds:
// docs/design/load-decisions.md, "Concurrency limit".
//
// Thread-confined. AdmissionController counts the running requests.
class ConcurrencyLimit {
 public:
  struct Parameters {
    std::size_t declared_concurrency = 1;
    std::size_t declared_connections = 1;
    std::chrono::milliseconds window{500};
    std::size_t min_samples = 20;
    // The best latency is the lowest mean latency of the last
    // `baseline_periods` periods.
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

  // `running`: the number of running requests just before this one ended,
  // including it.
  void OnFinished(WorkClass work_class,
                  Clock::Duration latency,
                  std::size_t running);

  // At least 1, at most the declared connections (or the declared concurrency,
  // if that is more).
  std::size_t limit() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
