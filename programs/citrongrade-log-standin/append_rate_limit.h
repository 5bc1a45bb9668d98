#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Token bucket for appends, a tenth of a second deep. Not thread-safe.
class AppendRateLimit {
 public:
  explicit AppendRateLimit(const Clock& clock)
      : m_clock(clock), m_filled_at(clock.Now()) {}

  // Whether one more append fits under `appends_per_second`; 0: always.
  bool Admit(std::uint64_t appends_per_second) {
    if (appends_per_second == 0)
      return true;
    Fill(static_cast<double>(appends_per_second));
    if (m_tokens < 1)
      return false;
    m_tokens -= 1;
    return true;
  }

 private:
  static constexpr double kDepthSeconds = 0.1;

  void Fill(double per_second) {
    const Clock::TimePoint now = m_clock.Now();
    const double elapsed =
        std::chrono::duration<double>(now - m_filled_at).count();
    m_filled_at = now;
    m_tokens = std::min(m_tokens + elapsed * per_second,
                        std::max(1.0, per_second * kDepthSeconds));
  }

  const Clock& m_clock;
  Clock::TimePoint m_filled_at;
  double m_tokens = 1;
};

}  // namespace citrongrade
