#include "modules/coordination/mesh/target_loss_detector.h"

#include <chrono>

namespace citrongrade {

namespace {

// A process's connections end together. One that ended longer ago says nothing
// of a refusal.
constexpr std::chrono::milliseconds kDeathWindow{1000};

}  // namespace

TargetLossDetector::TargetLossDetector(const Clock& clock) : m_clock(clock) {}

void TargetLossDetector::BeginIncarnation() {
  m_refusing_since.reset();
  m_connection_ended_at.reset();
  m_exchange_broken_at.reset();
}

bool TargetLossDetector::OnRefused() {
  if (m_refusing_since)
    return false;
  m_refusing_since = m_clock.Now();
  return true;
}

void TargetLossDetector::OnConnectionEnded() {
  m_connection_ended_at = m_clock.Now();
}

void TargetLossDetector::OnExchangeBroken() {
  m_exchange_broken_at = m_clock.Now();
  m_connection_ended_at = m_exchange_broken_at;
}

TargetLossDetector::Verdict TargetLossDetector::Review(
    const Connections& open,
    bool is_leaving,
    Clock::TimePoint held_until) const {
  if (!m_refusing_since)
    return Verdict::kNotLost;
  if (HasProcessDied(open, is_leaving))
    return Verdict::kProcessDied;
  const bool has_hold = m_clock.Now() <= held_until;
  return has_hold || open.exchanges > 0 ? Verdict::kNotLost
                                        : Verdict::kHoldsExpired;
}

bool TargetLossDetector::HasProcessDied(const Connections& open,
                                        bool is_leaving) const {
  if (open.exchanges > 0 || open.has_idle)
    return false;
  // A target that leaves closes its idle connections too, but none on which it
  // works.
  const std::optional<Clock::TimePoint>& ended_at =
      is_leaving ? m_exchange_broken_at : m_connection_ended_at;
  return ended_at && m_clock.Now() - *ended_at <= kDeathWindow;
}

}  // namespace citrongrade
