#include "modules/coordination/load/transit_delay_estimator.h"

#include <algorithm>

namespace citrongrade {

namespace {

using std::chrono::nanoseconds;

// No difference is greater.
constexpr nanoseconds kNoDifference = nanoseconds::max();

}  // namespace

TransitDelayEstimator::TransitDelayEstimator(const Clock& clock)
    : m_last_cleanup(clock.Now()) {}

Clock::Duration TransitDelayEstimator::OnArrived(std::uint64_t sender,
                                                 nanoseconds sent,
                                                 Clock::TimePoint arrived) {
  RemoveIdleSenders(arrived);
  const nanoseconds difference =
      std::chrono::duration_cast<nanoseconds>(arrived.time_since_epoch()) -
      sent;
  const Sender fresh{arrived, {kNoDifference, kNoDifference}};
  Sender& known = m_senders.try_emplace(sender, fresh).first->second;
  if (arrived - known.window_start > kWindow) {
    known.window_start = arrived;
    known.min_difference = {kNoDifference, known.min_difference[0]};
  }
  known.min_difference[0] = std::min(known.min_difference[0], difference);
  const nanoseconds least =
      std::min(known.min_difference[0], known.min_difference[1]);
  return std::chrono::duration_cast<Clock::Duration>(difference - least);
}

void TransitDelayEstimator::RemoveIdleSenders(Clock::TimePoint now) {
  if (now - m_last_cleanup < kWindow)
    return;
  m_last_cleanup = now;
  std::erase_if(m_senders, [now](const auto& entry) {
    return now - entry.second.window_start > 2 * kWindow;
  });
}

}  // namespace citrongrade
