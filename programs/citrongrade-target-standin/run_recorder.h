#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <vector>

#include "modules/coordination/clock.h"
#include "programs/citrongrade-target-standin/run_record.h"

namespace citrongrade {

struct WorkRequest;

// Remembers every run, so that a double run shows; the oldest are dropped above
// `max_records`. Thread-safe.
class RunRecorder {
 public:
  RunRecorder(const Clock& clock, std::size_t max_records)
      : m_clock(clock), m_max_records(max_records) {}

  RunRecord Begin(const WorkRequest& request);
  void End(std::uint64_t number, bool completed);

  std::vector<RunRecord> records() const;

 private:
  const Clock& m_clock;
  const std::size_t m_max_records;
  mutable std::mutex m_mutex;
  std::uint64_t m_first_number = 1;
  std::deque<RunRecord> m_records;
};

}  // namespace citrongrade
