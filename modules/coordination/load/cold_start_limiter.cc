#include "modules/coordination/load/cold_start_limiter.h"

#include <algorithm>

namespace citrongrade {

namespace {

// A second, and a margin for requests that arrive closer together than they
// were sent.
constexpr std::chrono::milliseconds kSendWindow{1100};

}  // namespace

ColdStartLimiter::ColdStartLimiter(const Clock& clock)
    : m_clock(clock), m_counted_at(clock.Now()) {}

bool ColdStartLimiter::IsLimiting() const {
  return m_parameters.rate > 0 && m_clock.Now() < m_cold_until;
}

double ColdStartLimiter::TokensAt(Clock::TimePoint now) const {
  const double added =
      m_parameters.rate *
      std::chrono::duration<double>(now - m_counted_at).count();
  return std::min(std::max(1.0, m_parameters.burst), m_tokens + added);
}

Clock::Duration ColdStartLimiter::TimeUntilAdmission(std::size_t ahead) const {
  if (!IsLimiting())
    return Clock::Duration(0);
  const Clock::TimePoint now = m_clock.Now();
  const double missing = static_cast<double>(ahead + 1) - TokensAt(now);
  if (missing <= 0)
    return Clock::Duration(0);
  const auto wait = std::chrono::ceil<Clock::Duration>(
      std::chrono::duration<double>(missing / m_parameters.rate));
  return std::min(wait, m_cold_until - now);
}

void ColdStartLimiter::OnAdmitted() {
  const Clock::TimePoint now = m_clock.Now();
  m_tokens = std::max(0.0, TokensAt(now) - 1);
  m_counted_at = now;
}

bool ColdStartLimiter::TrySend() {
  const Clock::TimePoint now = m_clock.Now();
  while (!m_sent.empty() && now - m_sent.front() >= kSendWindow)
    m_sent.pop_front();
  const double limit = m_parameters.rate + m_parameters.burst;
  if (IsLimiting() && static_cast<double>(m_sent.size() + 1) > limit)
    return false;
  m_sent.push_back(now);
  return true;
}

}  // namespace citrongrade
