#include "modules/coordination/load/transit_delay_estimator.h"

#include <algorithm>

namespace citrongrade {

namespace {

using std::chrono::nanoseconds;

// Greater than any difference.
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
  const Sender new_sender{arrived, {kNoDifference, kNoDifference}};
  Sender& entry = m_senders.try_emplace(sender, new_sender).first->second;
  if (arrived - entry.window_start > kWindow) {
    entry.window_start = arrived;
    entry.min_difference = {kNoDifference, entry.min_difference[0]};
  }
  entry.min_difference[0] = std::min(entry.min_difference[0], difference);
  const nanoseconds minimum =
      std::min(entry.min_difference[0], entry.min_difference[1]);
  return std::chrono::duration_cast<Clock::Duration>(difference - minimum);
}

void TransitDelayEstimator::RemoveIdleSenders(Clock::TimePoint now) {
  if (now - m_last_cleanup < kWindow)
    return;
  m_last_cleanup = now;
  std::erase_if(m_senders, [now](const auto& item) {
    return now - item.second.window_start > 2 * kWindow;
  });
}

}  // namespace citrongrade
