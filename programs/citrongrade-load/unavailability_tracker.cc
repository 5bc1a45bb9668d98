#include "programs/citrongrade-load/unavailability_tracker.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace citrongrade {

void UnavailabilityTracker::Note(const std::string& key,
                                 Clock::TimePoint now,
                                 bool succeeded) {
  const std::lock_guard lock(m_mutex);
  if (succeeded) {
    const auto found = m_keys.find(key);
    if (found == m_keys.end() || !found->second.is_open)
      return;
    KeyState& state = found->second;
    state.longest = std::max(state.longest, now - state.failed_since);
    state.is_open = false;
    return;
  }
  KeyState& state = m_keys[key];
  if (state.is_open)
    return;
  state.is_open = true;
  state.failed_since = now;
}

std::vector<std::chrono::microseconds> UnavailabilityTracker::LongestGaps(
    Clock::TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  std::vector<std::chrono::microseconds> gaps;
  for (const auto& [key, state] : m_keys) {
    const Clock::Duration open =
        state.is_open ? now - state.failed_since : Clock::Duration(0);
    gaps.push_back(std::chrono::duration_cast<std::chrono::microseconds>(
        std::max(state.longest, open)));
  }
  return gaps;
}

std::size_t UnavailabilityTracker::open_gaps() const {
  const std::lock_guard lock(m_mutex);
  return static_cast<std::size_t>(
      std::count_if(m_keys.begin(), m_keys.end(),
                    [](const auto& entry) { return entry.second.is_open; }));
}

}  // namespace citrongrade
