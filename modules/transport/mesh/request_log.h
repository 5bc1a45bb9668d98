#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "modules/coordination/clock.h"

namespace citrongrade {

struct ForwardMetadata;
struct ForwardResult;

// Logs one line for each decision about a request, in the same format at every
// node.
//
// Load pattern: a burst of failing requests. Without a limit each of them would
// cost log lines, and with them processor time, just when the node has least to
// spare. Each event has its own rate limit; the number of suppressed lines is
// given with the next line that is logged. Successful requests have a lower
// limit than failed ones, which matter more in an investigation.
//
// Runs on the event loop; the logging thread does the writing.
class RequestLog {
 public:
  struct Settings {
    // Maximum lines per second for each event.
    double failures_per_second = 60;
    double successes_per_second = 5;
  };

  RequestLog(const Clock& clock, const Settings& settings);

  // At the node that received the request: one attempt at one member.
  void OnAttempt(const ForwardMetadata& metadata,
                 const std::string& member,
                 const ForwardResult& result,
                 std::chrono::milliseconds took,
                 std::uint64_t view_version);
  // At the node that received the request: its final result.
  void OnAnswered(const ForwardMetadata& metadata,
                  int status,
                  const ForwardResult& result,
                  unsigned attempts,
                  std::chrono::milliseconds took,
                  std::uint64_t config_version);
  // At the target's own node: the result of one attempt.
  void OnTargetResult(const ForwardMetadata& metadata,
                      const ForwardResult& result,
                      const std::string& from);
  // No route matches, or the node has no configuration yet.
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

  // Returns whether the event may be logged now, and if so sets the number of
  // lines suppressed before it.
  bool TakeToken(const char* event, bool is_failure, std::uint64_t& suppressed);

  const Clock& m_clock;
  const Settings m_settings;
  std::map<std::string, TokenBucket> m_buckets;
};

}  // namespace citrongrade
