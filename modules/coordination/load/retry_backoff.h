#pragma once

#include <chrono>
#include <random>

namespace citrongrade {

// Pause before a node's own retry: exponential, with full jitter.
//
// Load pattern: an outage ends. All that failed at one moment retry at one
// moment without jitter, fail together and meet again at each step.
//
// Thread-confined. For what callers are told, see RetryAfterPacer.
class RetryBackoff {
 public:
  struct Parameters {
    std::chrono::milliseconds initial_delay{10};
    std::chrono::milliseconds max_delay{1000};

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  RetryBackoff(std::mt19937_64& random, const Parameters& parameters);

  // `retry`: 0 for the first. Never shorter than `retry_after`, which the one
  // that refused has asked for.
  std::chrono::milliseconds Delay(unsigned retry,
                                  std::chrono::milliseconds retry_after);

 private:
  std::mt19937_64& m_random;
  Parameters m_parameters;
};

}  // namespace citrongrade
