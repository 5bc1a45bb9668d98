#include "modules/coordination/load/withdrawal_schedule.h"

#include <algorithm>
#include <utility>

namespace citrongrade {

WithdrawalSchedule::AttemptId WithdrawalSchedule::OnSent(
    const std::string& node,
    const std::string& request_id,
    Clock::Duration target_latency) {
  const AttemptId attempt = m_next_attempt++;
  // A request without an id can't be named in a withdrawal.
  if (m_is_shutting_down || request_id.empty())
    return attempt;
  m_attempts.emplace(attempt, Attempt{node, request_id, target_latency,
                                      Clock::TimePoint::max()});
  return attempt;
}

void WithdrawalSchedule::BeginShutdown(Clock::TimePoint end) {
  m_is_shutting_down = true;
  for (auto& [id, attempt] : m_attempts) {
    attempt.due =
        end - std::max<Clock::Duration>(kMinLead, attempt.target_latency);
  }
}

std::vector<WithdrawalSchedule::Batch> WithdrawalSchedule::TakeDue() {
  const Clock::TimePoint now = m_clock.Now();
  std::map<std::string, Batch> batches;
  for (auto& [id, attempt] : m_attempts) {
    if (now < attempt.due || m_unaware.contains(attempt.node))
      continue;
    attempt.due = now + kRepeatInterval;
    Batch& batch = batches[attempt.node];
    batch.node = attempt.node;
    batch.request_ids.push_back(attempt.request_id);
  }
  std::vector<Batch> due;
  due.reserve(batches.size());
  for (auto& [node, batch] : batches)
    due.push_back(std::move(batch));
  return due;
}

}  // namespace citrongrade
