#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace citrongrade {

struct RunReport;

// Every run that any target began, by call. Thread-safe.
class RunLedger {
 public:
  // A report that came twice counts once.
  void Note(const RunReport& report);

  std::size_t RunsOf(const std::string& call_id) const;
  std::map<std::string, std::size_t> RunsByTarget() const;
  // Times that a key's run was on another target than its run before.
  std::size_t key_moves() const;

 private:
  struct TargetRuns {
    // Process and number of each run.
    std::set<std::pair<std::string, std::uint64_t>> numbers;
  };

  mutable std::mutex m_mutex;
  std::map<std::string, TargetRuns> m_targets;
  std::unordered_map<std::string, std::size_t> m_calls;
  std::unordered_map<std::string, std::string> m_last_target_of_key;
  std::size_t m_key_moves = 0;
};

}  // namespace citrongrade
