#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Seeded choices for tests. The same seed gives the same choices on every
// machine, which the standard distributions don't promise.
class FakeRandom {
 public:
  explicit FakeRandom(std::uint64_t seed) : m_engine(seed) {}

  std::uint64_t Next() { return m_engine(); }
  // 0 to `bound` less one.
  std::uint64_t Below(std::uint64_t bound) { return m_engine() % bound; }
  bool Chance(std::uint32_t percent) { return Below(100) < percent; }
  // Between the two, to the microsecond.
  Clock::Duration Between(std::chrono::microseconds low,
                          std::chrono::microseconds high) {
    const auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + std::chrono::microseconds(Below(span));
  }

 private:
  std::mt19937_64 m_engine;
};

}  // namespace citrongrade
