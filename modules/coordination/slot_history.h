#pragma once

#include <cstdint>

#include "modules/coordination/clock.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

// What an owner knows of the protected requests that ran in a slot before it
// owned it.
struct SlotHistory {
  enum class State : std::uint8_t {
    // It knows all ids within the horizon.
    kReady,
    // It is asking the lost owner's witnesses.
    kRecovering,
    // Some ids may be missing until `lost_until`.
    kLost,
  };

  Epoch epoch;
  State state = State::kLost;
  Clock::TimePoint lost_until = Clock::TimePoint::min();
};

}  // namespace citrongrade
