#include "programs/citrongrade-target-standin/run_recorder.h"

#include <mutex>
#include <vector>

#include "programs/citrongrade-target-standin/work_request.h"

namespace citrongrade {

RunRecord RunRecorder::Begin(const WorkRequest& request) {
  RunRecord record;
  record.request_id = request.request_id;
  record.idempotency_key = request.idempotency_key;
  record.call_id = request.call_id;
  record.key = request.key;
  record.epoch = request.grant ? request.grant->epoch : Epoch();
  record.start = m_clock.Now();
  const std::lock_guard lock(m_mutex);
  record.number = m_first_number + m_records.size();
  m_records.push_back(record);
  if (m_records.size() > m_max_records) {
    m_records.pop_front();
    ++m_first_number;
  }
  return record;
}

void RunRecorder::End(std::uint64_t number, bool completed) {
  const std::lock_guard lock(m_mutex);
  if (number < m_first_number)
    return;
  RunRecord& record = m_records[number - m_first_number];
  record.end = m_clock.Now();
  record.completed = completed;
}

std::vector<RunRecord> RunRecorder::records() const {
  const std::lock_guard lock(m_mutex);
  return {m_records.begin(), m_records.end()};
}

}  // namespace citrongrade
