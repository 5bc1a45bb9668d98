#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/work_class.h"

namespace citrongrade {

// Requests of one kind, open loop: they come whatever becomes of those before.
struct LoadPolicyStream {
  using Random = std::mt19937_64;

  // Requests a second at a moment of the run; Poisson between moments.
  std::function<double(Clock::Duration elapsed)> rate;
  std::function<std::uint64_t(Random&)> caller;
  std::function<std::uint64_t(Random&, Clock::Duration elapsed)> key;
  WorkClass work_class = WorkClass::kShort;
  // Mean; each request takes half to one and a half of it.
  std::chrono::milliseconds work{20};
  std::size_t bytes = 500;
  // The caller waits this long.
  std::chrono::milliseconds patience{2000};
  // Sends no more than its fair share: what it gets is reported on its own.
  bool well_behaved = false;
};

}  // namespace citrongrade
