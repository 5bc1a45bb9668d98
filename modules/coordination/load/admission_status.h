#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace citrongrade {

// Counters and current load of the admission for one target, for dumps and
// metrics.
struct AdmissionStatus {
  std::size_t limit = 0;
  std::size_t running = 0;
  std::size_t running_long = 0;
  std::size_t waiting = 0;
  std::size_t waiting_bytes = 0;
  double burst_credit = 0;
  std::uint64_t admitted_total = 0;
  std::uint64_t refused_total = 0;
  // Mean queueing time of all requests that were queued and then admitted.
  std::chrono::microseconds mean_wait{0};

  friend auto operator<=>(const AdmissionStatus&,
                          const AdmissionStatus&) = default;
};

}  // namespace citrongrade
