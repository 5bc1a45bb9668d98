#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace citrongrade {

// How the log misbehaves, and its limits. Set by flags and POST /v1/faults.
struct LogFaults {
  // Every call on a stream is answered 503 and does nothing.
  bool outage = false;
  // Every call on a stream waits this long first.
  std::chrono::milliseconds delay{0};
  // The next so many appends take effect; their connections close unanswered.
  std::uint64_t lose_answers = 0;
  // Appends above this rate are answered 503; 0: no limit.
  std::uint64_t max_appends_per_second = 0;
  // Records kept in each stream.
  std::size_t retention_records = 100000;

  friend auto operator<=>(const LogFaults&, const LogFaults&) = default;
};

}  // namespace citrongrade
