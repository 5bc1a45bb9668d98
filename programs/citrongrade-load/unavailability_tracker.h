#pragma once

#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "modules/coordination/clock.h"

namespace citrongrade {

// How long each key was out of service as callers saw it: from the first failed
// attempt to the next success, the longest such gap of each key. Thread-safe.
class UnavailabilityTracker {
 public:
  void Note(const std::string& key, Clock::TimePoint now, bool succeeded);

  // Of the keys that had one; a gap that is still open counts to `now`.
  std::vector<std::chrono::microseconds> LongestGaps(
      Clock::TimePoint now) const;
  // Keys whose last attempt failed.
  std::size_t open_gaps() const;

 private:
  struct KeyState {
    bool is_open = false;
    Clock::TimePoint failed_since;
    Clock::Duration longest{0};
  };

  mutable std::mutex m_mutex;
  std::unordered_map<std::string, KeyState> m_keys;
};

}  // namespace citrongrade
