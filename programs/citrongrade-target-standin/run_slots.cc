#include "programs/citrongrade-target-standin/run_slots.h"

#include <mutex>

#include "programs/citrongrade-target-standin/cancellation.h"

namespace citrongrade {

SlotOutcome RunSlots::Enter(Clock::TimePoint deadline,
                            const Cancellation& cancellation) {
  std::unique_lock lock(m_mutex);
  if (m_load.running >= m_slots) {
    if (m_load.queued >= m_queue_length)
      return SlotOutcome::kShed;
    ++m_load.queued;
    m_history.Set(m_load);
    const SlotOutcome outcome = Wait(lock, deadline, cancellation);
    --m_load.queued;
    m_history.Set(m_load);
    if (outcome != SlotOutcome::kEntered)
      return outcome;
  }
  ++m_load.running;
  m_history.Set(m_load);
  return SlotOutcome::kEntered;
}

void RunSlots::Leave() {
  const std::lock_guard lock(m_mutex);
  --m_load.running;
  m_history.Set(m_load);
  m_changed.notify_all();
}

void RunSlots::Wake() {
  const std::lock_guard lock(m_mutex);
  m_changed.notify_all();
}

SlotOutcome RunSlots::Wait(std::unique_lock<std::mutex>& lock,
                           Clock::TimePoint deadline,
                           const Cancellation& cancellation) {
  const bool woken = m_changed.wait_until(lock, deadline, [&] {
    return m_load.running < m_slots || cancellation.IsCancelled();
  });
  if (!woken)
    return SlotOutcome::kDeadlinePassed;
  return cancellation.IsCancelled() ? SlotOutcome::kCancelled
                                    : SlotOutcome::kEntered;
}

}  // namespace citrongrade
