#include "modules/coordination/load/request_pacer.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>

namespace citrongrade {

RequestPacer::RequestPacer(const Clock& clock, const Parameters& parameters)
    : m_clock(clock), m_parameters(parameters), m_counted_at(clock.Now()) {
  assert(parameters.rate > 0);
}

void RequestPacer::SetParameters(const Parameters& parameters) {
  assert(parameters.rate > 0);
  if (parameters == m_parameters)
    return;
  const Clock::TimePoint now = m_clock.Now();
  m_tokens = std::min(TokensAt(now), std::max(1.0, parameters.burst));
  m_counted_at = now;
  m_parameters = parameters;
}

double RequestPacer::TokensAt(Clock::TimePoint now) const {
  const double added =
      m_parameters.rate *
      std::chrono::duration<double>(now - m_counted_at).count();
  return std::min(std::max(1.0, m_parameters.burst), m_tokens + added);
}

Clock::Duration RequestPacer::TimeUntilToken(std::size_t ahead) const {
  const double missing =
      static_cast<double>(ahead + 1) - TokensAt(m_clock.Now());
  if (missing <= 0)
    return Clock::Duration(0);
  return std::chrono::ceil<Clock::Duration>(
      std::chrono::duration<double>(missing / m_parameters.rate));
}

Clock::Duration RequestPacer::TimeUntilSpanHasRoom(std::size_t ahead) const {
  const Clock::TimePoint now = m_clock.Now();
  const auto first =
      std::upper_bound(m_sent.begin(), m_sent.end(), now - m_parameters.span);
  const auto sent = static_cast<double>(m_sent.end() - first);
  const double excess =
      sent + static_cast<double>(ahead + 1) - m_parameters.max_in_span;
  if (excess <= 0 || sent == 0)
    return Clock::Duration(0);
  // Room appears as the oldest ones leave the span.
  const double leaving = std::min(std::ceil(excess), sent);
  const Clock::TimePoint last_to_leave =
      *(first + static_cast<std::ptrdiff_t>(leaving) - 1);
  return last_to_leave + m_parameters.span - now;
}

Clock::Duration RequestPacer::TimeUntilAdmission(std::size_t ahead) const {
  return std::max(TimeUntilToken(ahead), TimeUntilSpanHasRoom(ahead));
}

void RequestPacer::OnAdmitted() {
  const Clock::TimePoint now = m_clock.Now();
  m_tokens = std::max(0.0, TokensAt(now) - 1);
  m_counted_at = now;
}

bool RequestPacer::CanSend() const {
  return TimeUntilSpanHasRoom(0) == Clock::Duration(0);
}

void RequestPacer::OnSent() {
  const Clock::TimePoint now = m_clock.Now();
  while (!m_sent.empty() && now - m_sent.front() >= m_parameters.span)
    m_sent.pop_front();
  m_sent.push_back(now);
}

}  // namespace citrongrade
