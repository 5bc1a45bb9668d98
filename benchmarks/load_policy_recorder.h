#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "benchmarks/load_policy_mesh.h"
#include "benchmarks/load_policy_request.h"
#include "benchmarks/load_policy_results.h"
#include "benchmarks/load_policy_scenario.h"
#include "modules/coordination/load/work_class.h"

namespace citrongrade {

// Counts what callers and workers get during a run.
class LoadPolicyRecorder {
 public:
  LoadPolicyRecorder(const LoadPolicyEventLoop& loop,
                     const LoadPolicyScenario& scenario)
      : m_loop(loop), m_scenario(scenario) {}

  void OnTry(const LoadPolicyRequest& request, std::size_t key_slot) {
    ++m_tries;
    m_first_tries += request.resends == 0 ? 1 : 0;
    Share& caller = m_callers[request.facts.caller];
    caller.asked += Seconds(request.work);
    if (IsWellBehaved(request)) {
      m_well_behaved.asked += Seconds(request.work);
    }
    ++m_seconds[{UnitOf(key_slot), SecondOf(request.sent)}].asked;
    m_window_work[key_slot] += Seconds(request.work);
  }

  void OnAnsweredInTime(const LoadPolicyRequest& request,
                        std::size_t key_slot) {
    const double work = Seconds(request.work);
    ++m_answered;
    m_done_work += work;
    m_callers[request.facts.caller].got += work;
    if (IsWellBehaved(request)) {
      m_well_behaved.got += work;
    }
    ++m_seconds[{UnitOf(key_slot), SecondOf(request.sent)}].got;
    if (IsSteady()) {
      m_steady_work += work;
    }
    if (request.facts.work_class == WorkClass::kShort) {
      AddLatency(1000 * Seconds(m_loop.Now() - request.sent));
    }
  }

  void OnRefused(const LoadPolicyRequest& request, bool while_idle) {
    ++m_refused;
    m_refused_while_idle += while_idle ? 1 : 0;
    const double waited = Seconds(m_loop.Now() - request.sent) /
                          Seconds(request.facts.deadline - request.sent);
    m_late_refusals += waited > 0.5 ? 1 : 0;
  }

  // At the end of each window of time.
  void OnWindowEnd(LoadPolicyMesh& mesh) {
    std::vector<double> work = WorkOfTargets(mesh);
    std::vector<double> in_window = work;
    for (std::size_t index = 0; index < m_work_before.size(); ++index) {
      in_window[index] -= m_work_before[index];
    }
    if (IsSteady()) {
      m_window_imbalances.push_back(MaxOverMean(in_window));
      m_window_bests.push_back(BestImbalance(in_window.size()));
    }
    m_work_before = std::move(work);
    m_window_work.clear();
  }

  LoadPolicyResults Results(LoadPolicyMesh& mesh) {
    LoadPolicyResults results;
    const double length = Seconds(m_scenario.duration);
    const double slots =
        static_cast<double>(m_scenario.slots_per_target * mesh.target_count());
    results.imbalance = MaxOverMean(WorkOfTargets(mesh));
    results.steady_imbalance = Mean(m_window_imbalances);
    results.best_imbalance = Mean(m_window_bests);
    results.moves_per_hour = static_cast<double>(mesh.moves()) * 3600 / length;
    results.unavailable_share = UnavailableShare();
    results.goodput = m_done_work / (slots * length);
    results.steady_goodput =
        m_steady_work / (slots * length * m_scenario.steady_part);
    results.short_p50_ms = Percentile(m_latencies, 0.50);
    results.short_p99_ms = Percentile(m_latencies, 0.99);
    results.steady_short_p99_ms = Percentile(m_steady_latencies, 0.99);
    results.fairness = JainIndex();
    if (m_well_behaved.asked > 0) {
      results.well_behaved_share = m_well_behaved.got / m_well_behaved.asked;
    }
    results.tries = m_tries;
    results.answered_share = Ratio(m_answered, m_first_tries);
    results.refused_share = Ratio(m_refused, m_tries);
    CountLateRuns(mesh, results);
    results.refused_while_idle = m_refused_while_idle;
    results.late_refusals_share = Ratio(m_late_refusals, m_tries);
    return results;
  }

 private:
  struct Share {
    double asked = 0;
    double got = 0;
  };

  struct Answers {
    std::uint64_t asked = 0;
    std::uint64_t got = 0;
  };

  static double Seconds(Clock::Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  static double Ratio(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
  }

  bool IsWellBehaved(const LoadPolicyRequest& request) const {
    return m_scenario.streams[request.stream].well_behaved;
  }

  bool IsSteady() const {
    const double began =
        Seconds(m_scenario.duration) * (1 - m_scenario.steady_part);
    return Seconds(m_loop.Elapsed()) > began;
  }

  std::size_t UnitOf(std::size_t key_slot) const {
    return m_scenario.divided_by_key ? key_slot : 0;
  }

  static std::int64_t SecondOf(Clock::TimePoint moment) {
    return std::chrono::floor<std::chrono::seconds>(moment.time_since_epoch())
        .count();
  }

  void AddLatency(double milliseconds) {
    m_latencies.push_back(static_cast<float>(milliseconds));
    if (IsSteady()) {
      m_steady_latencies.push_back(static_cast<float>(milliseconds));
    }
  }

  static std::vector<double> WorkOfTargets(LoadPolicyMesh& mesh) {
    std::vector<double> work;
    for (std::size_t index = 0; index < mesh.target_count(); ++index) {
      work.push_back(Seconds(mesh.target(index).work_done()));
    }
    return work;
  }

  static double MaxOverMean(const std::vector<double>& values) {
    const double mean = Mean(values);
    const double most = *std::max_element(values.begin(), values.end());
    return mean > 0 ? most / mean : 1;
  }

  // No assignment can do better than an equal share for each, or than the
  // heaviest key slot alone.
  double BestImbalance(std::size_t targets) const {
    if (!m_scenario.divided_by_key) {
      return 1;
    }
    double sum = 0;
    double most = 0;
    for (const auto& [slot, work] : m_window_work) {
      sum += work;
      most = std::max(most, work);
    }
    const double mean = sum / static_cast<double>(targets);
    return mean > 0 ? std::max(1.0, most / mean) : 1;
  }

  static double Mean(const std::vector<double>& values) {
    double sum = 0;
    for (const double value : values) {
      sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
  }

  double UnavailableShare() const {
    std::uint64_t asked = 0;
    std::uint64_t unavailable = 0;
    for (const auto& [unit, answers] : m_seconds) {
      asked += answers.asked > 0 ? 1 : 0;
      unavailable += answers.asked > 0 && answers.got == 0 ? 1 : 0;
    }
    return Ratio(unavailable, asked);
  }

  static double Percentile(std::vector<float>& values, double share) {
    if (values.empty()) {
      return 0;
    }
    const auto rank = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
  }

  double JainIndex() const {
    double sum = 0;
    double squares = 0;
    for (const auto& [caller, share] : m_callers) {
      const double got = share.got / share.asked;
      sum += got;
      squares += got * got;
    }
    const auto count = static_cast<double>(m_callers.size());
    return squares > 0 ? sum * sum / (count * squares) : 0;
  }

  static void CountLateRuns(LoadPolicyMesh& mesh, LoadPolicyResults& results) {
    std::uint64_t ended = 0;
    for (std::size_t index = 0; index < mesh.target_count(); ++index) {
      ended += mesh.target(index).ended();
      results.late_runs += mesh.target(index).ended_late();
    }
    results.late_runs_share = Ratio(results.late_runs, ended);
  }

  const LoadPolicyEventLoop& m_loop;
  const LoadPolicyScenario& m_scenario;
  std::uint64_t m_tries = 0;
  std::uint64_t m_first_tries = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_refused_while_idle = 0;
  std::uint64_t m_late_refusals = 0;
  double m_done_work = 0;
  double m_steady_work = 0;
  std::map<CallerHash, Share> m_callers;
  Share m_well_behaved;
  std::map<std::pair<std::size_t, std::int64_t>, Answers> m_seconds;
  std::vector<float> m_latencies;
  std::vector<float> m_steady_latencies;
  std::vector<double> m_work_before;
  std::map<std::size_t, double> m_window_work;
  std::vector<double> m_window_imbalances;
  std::vector<double> m_window_bests;
};

}  // namespace citrongrade
