// Plays the patterns of load in virtual time, policy beside baseline, and
// prints what callers and workers get. Usage:
//   load_policy_benchmark [PATTERN...]
//   load_policy_benchmark --check     the policy alone, against its bounds
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "benchmarks/load_policy_bounds.h"
#include "benchmarks/load_policy_patterns.h"
#include "benchmarks/load_policy_results.h"
#include "benchmarks/load_policy_simulation.h"

namespace citrongrade {
namespace {

using Side = LoadPolicySimulation::Side;

void PrintHeader() {
  std::printf(
      "%-25s %-8s %6s %6s %6s %6s %7s %6s %6s %7s %8s %8s %5s %6s %6s %7s %6s "
      "%6s "
      "%6s\n",
      "pattern", "side", "imbal", "steady", "best", "mov/h", "unavail", "goodp",
      "st.gp", "p50ms", "p99ms", "st.p99", "jain", "well", "answ", "refused",
      "late", "idle", "latref");
}

void Print(const std::string& pattern,
           const char* side,
           const LoadPolicyResults& results) {
  std::printf(
      "%-25s %-8s %6.3f %6.3f %6.3f %6.0f %7.4f %6.3f %6.3f %7.1f %8.1f %8.1f "
      "%5.3f %6.3f %6.3f %7.4f %6.4f %6llu %6.4f\n",
      pattern.c_str(), side, results.imbalance, results.steady_imbalance,
      results.best_imbalance, results.moves_per_hour, results.unavailable_share,
      results.goodput, results.steady_goodput, results.short_p50_ms,
      results.short_p99_ms, results.steady_short_p99_ms, results.fairness,
      results.well_behaved_share, results.answered_share, results.refused_share,
      results.late_runs_share,
      static_cast<unsigned long long>(results.refused_while_idle),
      results.late_refusals_share);
  std::fflush(stdout);
}

bool IsWanted(const std::string& pattern,
              const std::vector<std::string>& wanted) {
  if (wanted.empty()) {
    return true;
  }
  return std::find(wanted.begin(), wanted.end(), pattern) != wanted.end();
}

LoadPolicyBounds::Results Play(const std::vector<std::string>& wanted,
                               bool with_baseline) {
  LoadPolicyBounds::Results results;
  PrintHeader();
  for (const LoadPolicyScenario& scenario : LoadPolicyPatterns::All()) {
    if (!IsWanted(scenario.name, wanted)) {
      continue;
    }
    const LoadPolicyResults policy =
        LoadPolicySimulation(scenario, Side::kPolicy).Run();
    Print(scenario.name, "policy", policy);
    results[scenario.name] = policy;
    if (with_baseline) {
      Print(scenario.name, "baseline",
            LoadPolicySimulation(scenario, Side::kBaseline).Run());
    }
  }
  return results;
}

int Run(std::vector<std::string> arguments) {
  const bool check = std::erase(arguments, "--check") > 0;
  const LoadPolicyBounds::Results results = Play(arguments, !check);
  if (!check) {
    return EXIT_SUCCESS;
  }
  const int broken = LoadPolicyBounds::PrintBroken(results);
  std::printf("%d bounds broken\n", broken);
  return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace citrongrade

int main(int argc, char** argv) {
  return citrongrade::Run(std::vector<std::string>(argv + 1, argv + argc));
}
