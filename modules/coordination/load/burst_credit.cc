#include "modules/coordination/load/burst_credit.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace citrongrade {

BurstCredit::BurstCredit(const Clock& clock, const Parameters& parameters)
    : m_clock(clock),
      m_parameters(parameters),
      m_available(parameters.capacity),
      m_last_refill(clock.Now()) {}

void BurstCredit::SetIdleShare(double idle_share) {
  // The caller must clamp the share: more requests can be running than a limit
  // that has just shrunk.
  assert(idle_share >= 0 && idle_share <= 1);
  Refill();
  m_idle_share = idle_share;
}

bool BurstCredit::TrySpend(double run_seconds) {
  Refill();
  if (m_available < run_seconds) {
    return false;
  }
  m_available -= run_seconds;
  return true;
}

void BurstCredit::Refill() {
  const Clock::TimePoint now = m_clock.Now();
  const double seconds =
      std::chrono::duration<double>(now - m_last_refill).count();
  const double earned = seconds * m_idle_share * m_parameters.refill_per_second;
  m_available = std::min(m_parameters.capacity, m_available + earned);
  m_last_refill = now;
}

}  // namespace citrongrade
