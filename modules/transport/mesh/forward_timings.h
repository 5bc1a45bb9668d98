#pragma once

#include <chrono>
#include <compare>
#include <string>

namespace citrongrade {

// Where one try of a request spent its time, in the order in which it went
// there. For the log: a request that is late was held up at one of these.
struct ForwardTimings {
  // Until the connection to the other node was there, by the sender's clock.
  std::chrono::milliseconds connect{0};
  // Its head on the way, above what the path takes when nothing is on it, as
  // TransitDelay knows it.
  std::chrono::milliseconds transit{0};
  // From its head to its last byte, at the node beside the target.
  std::chrono::milliseconds body{0};
  // Waiting there for a grant and for its turn.
  std::chrono::milliseconds queue{0};
  // Until a connection to the target was there.
  std::chrono::milliseconds target_connect{0};
  // From there to the target's whole answer.
  std::chrono::milliseconds target{0};

  // Fields of a line of the log.
  std::string ToLogFields() const;

  friend auto operator<=>(const ForwardTimings&,
                          const ForwardTimings&) = default;
};

}  // namespace citrongrade
