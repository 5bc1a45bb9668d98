#pragma once

#include <chrono>
#include <random>

namespace citrongrade {

// Delay before a retry by this node: exponential backoff with full jitter.
//
// Load pattern: an outage ends. Without jitter, all requests that failed at one
// moment retry at one moment, fail together and collide again at each step.
//
// Thread-confined. For the delay that callers are told, see RetryAfterPacer.
class RetryBackoff {
 public:
  struct Parameters {
    std::chrono::milliseconds initial_delay{10};
    std::chrono::milliseconds max_delay{1000};

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  RetryBackoff(std::mt19937_64& random, const Parameters& parameters);

  // `retry`: 0 for the first retry. The result is never shorter than
  // `retry_after`, which the refusing side has asked for.
  std::chrono::milliseconds Delay(unsigned retry,
                                  std::chrono::milliseconds retry_after);

 private:
  std::mt19937_64& m_random;
  Parameters m_parameters;
};

}  // namespace citrongrade
