#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "programs/citrongrade-load/broken_promise.h"
#include "programs/citrongrade-load/percentiles.h"

namespace citrongrade {

// What a run's callers saw. Printed as text or JSON.
struct LoadReport {
  std::chrono::microseconds elapsed{0};
  // Calls by how their last attempt ended.
  std::size_t calls = 0;
  std::size_t done = 0;
  std::size_t not_run = 0;
  std::size_t unknown = 0;
  std::size_t lost = 0;
  std::size_t attempts = 0;
  // Attempts that failed, by error name.
  std::map<std::string, std::size_t> failures;

  // Calls that were done, from when they were due.
  Percentiles latency;
  // The small reads alone, through the system and past it.
  Percentiles read_latency;
  Percentiles direct_latency;
  // How late calls were begun: above a few ms this program was too slow.
  Percentiles send_lag;

  // Whether the runs of all targets are known.
  bool runs_are_whole = false;
  std::map<std::string, std::size_t> runs_by_target;
  // Most runs of a worker over the mean; 1 is even.
  double imbalance = 0;
  std::size_t key_moves = 0;

  // Keys that failed, and their longest gaps.
  Percentiles unavailable;
  std::size_t keys_still_failing = 0;

  std::vector<BrokenPromise> broken;

  std::string ToJson() const;
  std::string ToText() const;

  friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

}  // namespace citrongrade
