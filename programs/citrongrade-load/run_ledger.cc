#include "programs/citrongrade-load/run_ledger.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

#include "programs/citrongrade-target-standin/run_report.h"

namespace citrongrade {

void RunLedger::Note(const RunReport& report) {
  const std::lock_guard lock(m_mutex);
  TargetRuns& known = m_targets[report.target];
  if (!known.numbers.emplace(report.process, report.number).second)
    return;
  ++m_calls[report.call_id];
  if (report.key.empty())
    return;
  std::string& last = m_last_target_of_key[report.key];
  if (!last.empty() && last != report.target)
    ++m_key_moves;
  last = report.target;
}

std::size_t RunLedger::RunsOf(const std::string& call_id) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_calls.find(call_id);
  return found == m_calls.end() ? 0 : found->second;
}

std::map<std::string, std::size_t> RunLedger::RunsByTarget() const {
  const std::lock_guard lock(m_mutex);
  std::map<std::string, std::size_t> runs;
  for (const auto& [target, target_runs] : m_targets)
    runs[target] = target_runs.numbers.size();
  return runs;
}

std::size_t RunLedger::key_moves() const {
  const std::lock_guard lock(m_mutex);
  return m_key_moves;
}

}  // namespace citrongrade
