#pragma once

#include <cstdint>
#include <string>

namespace citrongrade {

// A promise that a simulated mesh broke.
struct Violation {
  enum class Kind : std::uint8_t {
    kTwoOwners,
    kRanTwice,
    kNotRunThatRan,
    kWrongAnswer,
    kStateDiverged,
    kConfigReverted,
    // After everything healed.
    kNotServedAgain,
  };

  Kind kind = Kind::kTwoOwners;
  // For people.
  std::string detail;

  bool IsSafety() const { return kind != Kind::kNotServedAgain; }
};

}  // namespace citrongrade
