#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "modules/coordination/clock.h"

namespace citrongrade {

struct ForwardMetadata;
struct ForwardResult;

// One line for each decision about a request, in the same words at every node.
//
// Load pattern: a burst of failing requests. Without a bound each would cost
// lines, and so processor time, just when there is least. Each event has a rate
// of its own; what exceeds it is counted, and the count is told with the next
// line. Requests that were served have a lower rate than those that were not:
// an engineer looks for the latter.
//
// On the event loop; the log's own thread writes.
class RequestLog {
 public:
  struct Settings {
    // Lines a second and event.
    double failures_per_second = 60;
    double successes_per_second = 5;
  };

  RequestLog(const Clock& clock, const Settings& settings);

  // At the node where the request began: one try of it at one member.
  void OnAttempt(const ForwardMetadata& order,
                 const std::string& member,
                 const ForwardResult& result,
                 std::chrono::milliseconds took,
                 std::uint64_t view_version);
  // At the node where the request began: how it ended.
  void OnAnswered(const ForwardMetadata& order,
                  int status,
                  const ForwardResult& result,
                  unsigned tries,
                  std::chrono::milliseconds took,
                  std::uint64_t config_version);
  // At the node beside the target.
  void OnTargetResult(const ForwardMetadata& order,
                      const ForwardResult& result,
                      const std::string& from);
  // No route, or no configuration yet.
  void OnUnrouted(const std::string& request_id,
                  const std::string& host,
                  const std::string& path,
                  int status,
                  std::uint64_t config_version);

 private:
  struct TokenBucket {
    double tokens = 0;
    Clock::TimePoint refilled_at;
    std::uint64_t suppressed = 0;
  };

  // Whether the event may be logged now; sets how many were left out before.
  bool TakeToken(const char* event, bool is_failure, std::uint64_t& left_out);

  const Clock& m_clock;
  const Settings m_settings;
  std::map<std::string, TokenBucket> m_buckets;
};

}  // namespace citrongrade
