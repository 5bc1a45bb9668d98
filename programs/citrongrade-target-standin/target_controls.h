#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace citrongrade {

// How the target misleads and misbehaves. Set by POST /v1/control, so that
// tests can show that a checker notices.
struct TargetControls {
  std::chrono::milliseconds health_lag{0};
  std::chrono::milliseconds load_lag{0};
  // What /v1/load reports, as a multiple of the truth.
  double load_factor = 1;
  // What /v1/health reports, whatever the truth; the truth when empty.
  std::string reported_state;
  // Multiplies the time of each run.
  double slowness = 1;

  // The next so many requests run twice.
  std::uint64_t run_twice = 0;
  // The next so many answers end before their length, but look whole: their
  // Content-Length is that of the short body.
  std::uint64_t shorten_answers = 0;
  // The next so many answers close the connection half-way.
  std::uint64_t cut_answers = 0;
  // The next so many answers are to another caller's request.
  std::uint64_t swap_answers = 0;
  // The next so many requests run, and are answered as not run.
  std::uint64_t deny_runs = 0;

  friend auto operator<=>(const TargetControls&,
                          const TargetControls&) = default;
};

}  // namespace citrongrade
