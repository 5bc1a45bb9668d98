#pragma once

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Estimates how much work a target can do, from the run times of its finished
// requests, and how much of it a request of each route takes.
//
// Routes of which a run takes less than half as long as one of the longest
// route are short. Their requests count as the part of a longer one that they
// take: a call of 30 ms as a tenth of a report of 300 ms. All others count as
// one. Capacity is in requests counted in this way, so it doesn't depend on the
// mix of requests of the last moments.
//
// The mean run times are averages of several seconds, so that they hardly
// change while all work takes three times as long for 0.4 s in every 2 s. If
// the run times of the last two seconds differ far from them, the speed of the
// target has changed for good, and the means follow at once.
// Weights change slowly, because the leader compares the capacity with counts
// of the last few seconds.
//
// Thread-confined. See also SlotRequestCounter and KeyBalancer.
class TargetSpeedEstimator {
 public:
  explicit TargetSpeedEstimator(const Clock& clock);

  void OnRun(const std::string& route, Clock::Duration run_time);

  // As what part of a request one of this route counts, from 0 to 1; 1 for an
  // unknown route.
  double WeightOf(const std::string& route) const;
  // As what part of a request the recent ones have counted on average; 1 before
  // the first run.
  double MeanWeight() const;
  // Mean run time for each counted request; empty before the first run.
  std::optional<Clock::Duration> TimePerCount() const;
  // Counted requests per second; empty if there have been too few runs, or none
  // lately.
  std::optional<double> Capacity(std::size_t concurrency) const;

 private:
  struct Route {
    double mean() const { return taken / runs; }

    // Number of runs and the sum of their run times in seconds, by which old
    // runs count less. `runs` never falls below a minimum.
    double runs = 0;
    double taken = 0;
    // Number of recent runs, which falls to zero.
    double recent_runs = 0;
    double weight = 1;
  };
  // Runs of some interval.
  struct RunTimes {
    double Factor() const { return taken / expected; }
    void Add(const RunTimes& other);

    unsigned runs = 0;
    // Sum of the run times, in seconds, and what it would be by the means.
    double taken = 0;
    double expected = 0;

    friend auto operator<=>(const RunTimes&, const RunTimes&) = default;
  };

  void EndInterval(Clock::Duration length);
  // Sum over the recent runs of their weights.
  double RecentCount() const;
  RunTimes SumSince(std::size_t first) const;
  void FollowLastingChange();
  void ForgetOldRuns(double share);
  // Mean run time in seconds of the longest route that takes a relevant part of
  // the work.
  double LongestMean() const;
  // `share`: part of the way to the weight by the run times.
  void UpdateWeights(double share);

  const Clock& m_clock;
  std::map<std::string, Route> m_routes;
  RunTimes m_interval;
  Clock::TimePoint m_interval_started;
  // The last intervals with runs, oldest first.
  std::deque<RunTimes> m_intervals;
  unsigned m_run_count = 0;
  Clock::TimePoint m_last_run;
};

}  // namespace citrongrade
