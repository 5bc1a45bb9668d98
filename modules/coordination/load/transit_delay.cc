#include "modules/coordination/load/transit_delay.h"

#include <algorithm>

namespace citrongrade {

namespace {

using std::chrono::nanoseconds;

// No difference is greater.
constexpr nanoseconds kNone = nanoseconds::max();

}  // namespace

TransitDelay::TransitDelay(const Clock& clock) : m_swept(clock.Now()) {}

Clock::Duration TransitDelay::OnArrived(std::uint64_t sender,
                                        nanoseconds sent,
                                        Clock::TimePoint arrived) {
  ForgetSilent(arrived);
  const nanoseconds difference =
      std::chrono::duration_cast<nanoseconds>(arrived.time_since_epoch()) -
      sent;
  const Sender fresh{arrived, {kNone, kNone}};
  Sender& known = m_senders.try_emplace(sender, fresh).first->second;
  if (arrived - known.window_began > kWindow) {
    known.window_began = arrived;
    known.least = {kNone, known.least[0]};
  }
  known.least[0] = std::min(known.least[0], difference);
  const nanoseconds least = std::min(known.least[0], known.least[1]);
  return std::chrono::duration_cast<Clock::Duration>(difference - least);
}

void TransitDelay::ForgetSilent(Clock::TimePoint now) {
  if (now - m_swept < kWindow)
    return;
  m_swept = now;
  std::erase_if(m_senders, [now](const auto& entry) {
    return now - entry.second.window_began > 2 * kWindow;
  });
}

}  // namespace citrongrade
