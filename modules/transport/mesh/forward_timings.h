#pragma once

#include <chrono>
#include <compare>
#include <string>

namespace citrongrade {

// Time that one attempt spent in each stage, in the order of the stages. Logged
// to show in which stage a late request was delayed.
struct ForwardTimings {
  // Time to get a connection to the other node, measured at the sender.
  std::chrono::milliseconds connect{0};
  // Transit time of the request's head beyond that of an idle path, as
  // estimated by TransitDelayEstimator.
  std::chrono::milliseconds transit{0};
  // From the request's head to its last byte, at the target's node.
  std::chrono::milliseconds body{0};
  // Time that the request waited at the target's node for a grant and in the
  // queue.
  std::chrono::milliseconds queue{0};
  // Time to get a connection to the target.
  std::chrono::milliseconds target_connect{0};
  // From then on to the end of the target's answer.
  std::chrono::milliseconds target{0};

  // Returns the times as key=value fields of a log line.
  std::string ToLogFields() const;

  friend auto operator<=>(const ForwardTimings&,
                          const ForwardTimings&) = default;
};

}  // namespace citrongrade
