#include "modules/coordination/load/body_room.h"

#include <algorithm>

namespace citrongrade {

namespace {

constexpr double kLeastRate = 1;

}  // namespace

BodyRoom::BodyRoom(const Clock& clock, double bytes_per_second)
    : m_clock(clock),
      m_bytes_per_second(std::max(kLeastRate, bytes_per_second)) {}

Clock::Duration BodyRoom::TimeFor(std::uint64_t bytes) const {
  return std::chrono::duration_cast<Clock::Duration>(
      std::chrono::duration<double>(static_cast<double>(bytes) /
                                    m_bytes_per_second));
}

Clock::Duration BodyRoom::DrainTime() const {
  return TimeFor(m_bytes_on_way + m_bytes_waiting);
}

bool BodyRoom::HasRoomFor(std::uint64_t bytes) const {
  return m_on_way.empty() || TimeFor(m_bytes_on_way + bytes) <= kMostOnWay;
}

void BodyRoom::Grant(const Body& body) {
  m_on_way.emplace(body.ticket, body.bytes);
  m_bytes_on_way += body.bytes;
}

BodyRoom::Verdict BodyRoom::Offer(const Body& body) {
  const Clock::TimePoint now = m_clock.Now();
  if (m_waiting.size() >= kMaxWaiting ||
      now + DrainTime() + TimeFor(body.bytes) >= body.latest)
    return Verdict::kRefused;
  if (m_waiting.empty() && HasRoomFor(body.bytes)) {
    Grant(body);
    return Verdict::kGranted;
  }
  m_waiting.emplace(body.ticket, body);
  m_bytes_waiting += body.bytes;
  return Verdict::kWaits;
}

void BodyRoom::OnEnded(RequestTicket ticket) {
  if (const auto found = m_on_way.find(ticket); found != m_on_way.end()) {
    m_bytes_on_way -= found->second;
    m_on_way.erase(found);
  }
  if (const auto found = m_waiting.find(ticket); found != m_waiting.end()) {
    m_bytes_waiting -= found->second.bytes;
    m_waiting.erase(found);
  }
}

std::map<RequestTicket, BodyRoom::Body>::iterator BodyRoom::FindNext() {
  const Clock::TimePoint now = m_clock.Now();
  const auto timely = std::find_if(
      m_waiting.begin(), m_waiting.end(), [this, now](const auto& entry) {
        return now + TimeFor(m_bytes_on_way + entry.second.bytes) <
               entry.second.aim;
      });
  return timely == m_waiting.end() ? m_waiting.begin() : timely;
}

BodyRoom::Changes BodyRoom::Poll() {
  Changes changes;
  const Clock::TimePoint now = m_clock.Now();
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    const Body& body = it->second;
    if (now + TimeFor(m_bytes_on_way + body.bytes) < body.latest) {
      ++it;
      continue;
    }
    changes.refused.push_back(body.ticket);
    m_bytes_waiting -= body.bytes;
    it = m_waiting.erase(it);
  }
  while (!m_waiting.empty()) {
    const auto next = FindNext();
    if (!HasRoomFor(next->second.bytes))
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
