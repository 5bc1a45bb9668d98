#include "modules/coordination/testing/event_queue.h"

#include <utility>

namespace citrongrade {

void EventQueue::Schedule(Clock::Duration delay, Action action) {
  m_events.push({m_now + delay, m_next_order++, std::move(action)});
}

void EventQueue::RunUntil(Clock::TimePoint end) {
  while (!m_events.empty() && m_events.top().at <= end) {
    // The queue hands out constant elements only; this one is removed next.
    Event event = std::move(const_cast<Event&>(m_events.top()));
    m_events.pop();
    m_now = event.at;
    event.action();
  }
  m_now = end;
}

}  // namespace citrongrade
