#pragma once

#include <compare>
#include <cstdint>

namespace citrongrade {

// What callers and workers got in one run of one scenario.
struct LoadPolicyResults {
  // Max over mean of work done per worker, over the whole run.
  double imbalance = 0;
  // The same over the steady part, and the least that any assignment of the
  // same key slots could have had there (1 for undivided services).
  double steady_imbalance = 0;
  double best_imbalance = 1;
  // Key slots moved or keys given a slot of their own, by hour.
  double moves_per_hour = 0;
  // Share of (key slot, second) pairs with requests of which none was answered
  // in time; for undivided services of seconds.
  double unavailable_share = 0;
  // Work done in time, as a share of what all slots can do.
  double goodput = 0;
  double short_p50_ms = 0;
  double short_p99_ms = 0;
  // The same for the steady part: after recovery, when something recovers.
  double steady_short_p99_ms = 0;
  double steady_goodput = 0;
  // Jain's index over callers' answered share: 1 when all are served alike.
  double fairness = 0;
  // Answered in time, of what well-behaved callers sent; 1 when there are none.
  double well_behaved_share = 1;
  // Callers answered in time, at once or after resends, of all first tries.
  double answered_share = 0;
  // Of all tries.
  double refused_share = 0;
  // Of all runs at targets.
  double late_runs_share = 0;
  std::uint64_t tries = 0;
  std::uint64_t late_runs = 0;
  // Refused though the target had an idle slot.
  std::uint64_t refused_while_idle = 0;
  // Refused after more than half of the caller's patience, of all tries.
  double late_refusals_share = 0;

  friend auto operator<=>(const LoadPolicyResults&,
                          const LoadPolicyResults&) = default;
};

}  // namespace citrongrade
