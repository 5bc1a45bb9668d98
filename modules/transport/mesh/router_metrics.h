#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "modules/coordination/clock.h"

namespace citrongrade {

struct ForwardResult;

// Counters and latency histograms of callers' requests at this node, by route
// and outcome. Runs on the event loop.
class RouterMetrics {
 public:
  // Upper bounds of the histogram's buckets, in milliseconds; one more bucket
  // is unbounded.
  static constexpr std::array<int, 12> kBucketBoundsMs = {
      5, 10, 25, 50, 100, 200, 300, 400, 500, 750, 1000, 2000};

  void OnAnswered(const std::string& route,
                  const ForwardResult& result,
                  Clock::Duration took);
  // Counts a request of a route with several destinations.
  void OnDestinationChosen(const std::string& route,
                           const std::string& service) {
    ++m_destinations[route][service];
  }
  void OnRetried(const std::string& service) { ++m_retries[service]; }
  void OnUnrouted(int status) { ++m_unrouted[status]; }

  // Returns the Prometheus text format.
  std::string ToText() const;

 private:
  struct LatencyHistogram {
    std::array<std::uint64_t, kBucketBoundsMs.size() + 1> buckets{};
    std::uint64_t count = 0;
    double sum_seconds = 0;
  };

  // By route, then by outcome or error code.
  std::map<std::string, std::map<std::string, std::uint64_t>> m_answers;
  std::map<std::string, LatencyHistogram> m_latencies;
  // By route, then by destination.
  std::map<std::string, std::map<std::string, std::uint64_t>> m_destinations;
  std::map<std::string, std::uint64_t> m_retries;
  std::map<int, std::uint64_t> m_unrouted;
};

}  // namespace citrongrade
