// Plays the patterns of load in virtual time, policy beside baseline, and
// prints what callers and workers get. Usage:
//   load_policy_benchmark [--check] [PATTERN...]
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "benchmarks/load_policy_patterns.h"
#include "benchmarks/load_policy_results.h"
#include "benchmarks/load_policy_simulation.h"

namespace citrongrade {
namespace {

using Side = LoadPolicySimulation::Side;

void PrintHeader() {
  std::printf(
      "%-26s %-8s %6s %6s %6s %6s %7s %6s %6s %7s %8s %8s %5s %6s %7s %6s %6s "
      "%6s\n",
      "pattern", "side", "imbal", "steady", "best", "mov/h", "unavail", "goodp",
      "st.gp", "p50ms", "p99ms", "st.p99", "jain", "well", "refused", "late",
      "idle", "latref");
}

void Print(const std::string& pattern,
           const char* side,
           const LoadPolicyResults& results) {
  std::printf(
      "%-26s %-8s %6.3f %6.3f %6.3f %6.0f %7.4f %6.3f %6.3f %7.1f %8.1f %8.1f "
      "%5.3f %6.3f %7.4f %6.4f %6llu %6.4f\n",
      pattern.c_str(), side, results.imbalance, results.steady_imbalance,
      results.best_imbalance, results.moves_per_hour, results.unavailable_share,
      results.goodput, results.steady_goodput, results.short_p50_ms,
      results.short_p99_ms, results.steady_short_p99_ms, results.fairness,
      results.well_behaved_share, results.refused_share,
      results.late_runs_share,
      static_cast<unsigned long long>(results.refused_while_idle),
      results.late_refusals_share);
  std::fflush(stdout);
}

}  // namespace
}  // namespace citrongrade

int main(int argc, char** argv) {
  using namespace citrongrade;
  std::vector<std::string> wanted(argv + 1, argv + argc);
  PrintHeader();
  for (const LoadPolicyScenario& scenario : LoadPolicyPatterns::All()) {
    if (!wanted.empty() && scenario.name.find(wanted[0]) == std::string::npos) {
      continue;
    }
    Print(scenario.name, "policy",
          LoadPolicySimulation(scenario, Side::kPolicy).Run());
    Print(scenario.name, "baseline",
          LoadPolicySimulation(scenario, Side::kBaseline).Run());
  }
  return EXIT_SUCCESS;
}
