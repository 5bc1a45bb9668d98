#include "modules/coordination/load/target_rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace citrongrade {

namespace {

// Requests may arrive closer together than they were sent.
constexpr std::chrono::milliseconds kArrivalMargin{100};
constexpr std::chrono::seconds kColdSpan{1};
// A target's limit is kept over this time.
constexpr std::chrono::seconds kNamedSpan{4};
// Share and number of requests beyond the limit in that time. They let through
// what was held up on its way to the target. Users accept a half and five.
constexpr double kNamedExcess = 1.2;
constexpr double kNamedSlack = 3;
// Admissions are decided at intervals of 25 ms, on a busy host of up to some
// 300 ms. What accrues meanwhile is admitted at once: when it was dropped, a
// target that took 12 requests a second got as few as 9.5.
constexpr double kNamedBurstSeconds = 0.25;
// Rate for a target that takes nothing, to learn when it takes some again.
constexpr double kProbesPerSecond = 0.25;

RequestPacer::Parameters MakeColdPacing(
    const TargetRateLimiter::ColdLimit& limit) {
  RequestPacer::Parameters parameters;
  parameters.rate = limit.rate > 0 ? limit.rate : 1;
  parameters.burst = limit.burst;
  parameters.span = kColdSpan + kArrivalMargin;
  parameters.max_in_span = limit.rate + limit.burst;
  return parameters;
}

RequestPacer::Parameters MakeNamedPacing(double rate) {
  constexpr double kSpanSeconds =
      std::chrono::duration<double>(kNamedSpan).count();
  RequestPacer::Parameters parameters;
  parameters.rate = std::max(rate, kProbesPerSecond);
  parameters.burst = 1 + rate * kNamedBurstSeconds;
  parameters.span = kNamedSpan + kArrivalMargin;
  parameters.max_in_span = rate * kSpanSeconds * kNamedExcess + kNamedSlack;
  return parameters;
}

}  // namespace

TargetRateLimiter::TargetRateLimiter(const Clock& clock)
    : m_clock(clock), m_cold_pacer(clock, MakeColdPacing(ColdLimit())) {}

void TargetRateLimiter::SetColdLimit(const ColdLimit& limit) {
  m_cold_limit = limit;
  m_cold_pacer.SetParameters(MakeColdPacing(limit));
}

void TargetRateLimiter::SetNamedLimit(std::optional<double> rate) {
  m_named_rate = rate;
  if (!rate)
    return;
  if (!m_named_pacer)
    m_named_pacer.emplace(m_clock, MakeNamedPacing(*rate));
  else
    m_named_pacer->SetParameters(MakeNamedPacing(*rate));
}

bool TargetRateLimiter::IsColdLimiting() const {
  return m_cold_limit.rate > 0 && m_clock.Now() < m_cold_until;
}

bool TargetRateLimiter::IsLimiting() const {
  return m_named_rate.has_value() || IsColdLimiting();
}

std::optional<double> TargetRateLimiter::Rate() const {
  if (!IsColdLimiting())
    return m_named_rate;
  return std::min(m_cold_limit.rate, m_named_rate.value_or(m_cold_limit.rate));
}

Clock::Duration TargetRateLimiter::TimeUntilAdmission(std::size_t ahead) const {
  Clock::Duration wait(0);
  if (IsColdLimiting())
    wait = std::min(m_cold_pacer.TimeUntilAdmission(ahead),
                    m_cold_until - m_clock.Now());
  if (m_named_rate)
    wait = std::max(wait, m_named_pacer->TimeUntilAdmission(ahead));
  return wait;
}

void TargetRateLimiter::OnAdmitted() {
  m_cold_pacer.OnAdmitted();
  if (m_named_rate)
    m_named_pacer->OnAdmitted();
}

bool TargetRateLimiter::TrySend() {
  if (IsColdLimiting() && !m_cold_pacer.CanSend())
    return false;
  if (m_named_rate && !m_named_pacer->CanSend())
    return false;
  m_cold_pacer.OnSent();
  if (m_named_rate)
    m_named_pacer->OnSent();
  return true;
}

}  // namespace citrongrade
