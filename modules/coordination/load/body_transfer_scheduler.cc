#include "modules/coordination/load/body_transfer_scheduler.h"

#include <algorithm>

namespace citrongrade {

namespace {

constexpr double kMinBytesPerSecond = 1;

}  // namespace

BodyTransferScheduler::BodyTransferScheduler(const Clock& clock,
                                             double bytes_per_second)
    : m_clock(clock),
      m_bytes_per_second(std::max(kMinBytesPerSecond, bytes_per_second)) {}

Clock::Duration BodyTransferScheduler::TransferTime(std::uint64_t bytes) const {
  return std::chrono::duration_cast<Clock::Duration>(
      std::chrono::duration<double>(static_cast<double>(bytes) /
                                    m_bytes_per_second));
}

Clock::Duration BodyTransferScheduler::DrainTime() const {
  return TransferTime(m_bytes_in_flight + m_bytes_waiting);
}

bool BodyTransferScheduler::HasCapacityFor(std::uint64_t bytes) const {
  return m_in_flight.empty() ||
         TransferTime(m_bytes_in_flight + bytes) <= kMaxInFlightTime;
}

void BodyTransferScheduler::Grant(const Body& body) {
  m_in_flight.emplace(body.ticket, body.bytes);
  m_bytes_in_flight += body.bytes;
}

BodyTransferScheduler::Verdict BodyTransferScheduler::Offer(const Body& body) {
  const Clock::TimePoint now = m_clock.Now();
  if (m_waiting.size() >= kMaxWaiting ||
      now + DrainTime() + TransferTime(body.bytes) >= body.deadline)
    return Verdict::kRefused;
  if (m_waiting.empty() && HasCapacityFor(body.bytes)) {
    Grant(body);
    return Verdict::kGranted;
  }
  m_waiting.emplace(body.ticket, body);
  m_bytes_waiting += body.bytes;
  return Verdict::kQueued;
}

void BodyTransferScheduler::OnFinished(RequestTicket ticket) {
  if (const auto found = m_in_flight.find(ticket); found != m_in_flight.end()) {
    m_bytes_in_flight -= found->second;
    m_in_flight.erase(found);
  }
  if (const auto found = m_waiting.find(ticket); found != m_waiting.end()) {
    m_bytes_waiting -= found->second.bytes;
    m_waiting.erase(found);
  }
}

std::map<RequestTicket, BodyTransferScheduler::Body>::iterator
BodyTransferScheduler::FindNext() {
  const Clock::TimePoint now = m_clock.Now();
  const auto on_time = std::find_if(
      m_waiting.begin(), m_waiting.end(), [this, now](const auto& entry) {
        return now + TransferTime(m_bytes_in_flight + entry.second.bytes) <
               entry.second.soft_deadline;
      });
  return on_time == m_waiting.end() ? m_waiting.begin() : on_time;
}

BodyTransferScheduler::Changes BodyTransferScheduler::Poll() {
  Changes changes;
  const Clock::TimePoint now = m_clock.Now();
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    const Body& body = it->second;
    if (now + TransferTime(m_bytes_in_flight + body.bytes) < body.deadline) {
      ++it;
      continue;
    }
    changes.refused.push_back(body.ticket);
    m_bytes_waiting -= body.bytes;
    it = m_waiting.erase(it);
  }
  while (!m_waiting.empty()) {
    const auto next = FindNext();
    if (!HasCapacityFor(next->second.bytes))
      break;
    const Body body = next->second;
    m_waiting.erase(next);
    m_bytes_waiting -= body.bytes;
    Grant(body);
    changes.granted.push_back(body.ticket);
  }
  return changes;
}

}  // namespace citrongrade
