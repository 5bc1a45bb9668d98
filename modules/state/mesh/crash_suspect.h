#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace citrongrade {

// What is known of one request that ran on targets when they crashed, as nodes
// tell it to each other and as it is stored. Two of them about the same request
// can be merged in any order and any number of times.
struct CrashSuspect {
  struct Crash {
    // Random number that the crash got from the node that saw it.
    std::uint64_t id = 0;
    // A run of the request has ended without a crash since.
    bool is_cleared = false;

    friend auto operator<=>(const Crash&, const Crash&) = default;
  };

  std::uint64_t fingerprint = 0;
  // In the order of their ids, each id once.
  std::vector<Crash> crashes;
  // Time since the last of these crashes. An age, as clocks differ between
  // hosts.
  std::chrono::seconds age{0};

  friend auto operator<=>(const CrashSuspect&, const CrashSuspect&) = default;
};

}  // namespace citrongrade
