#pragma once

#include <cstdint>
#include <string_view>

namespace citrongrade {

// What a target says of itself in health answers and announcements.
enum class TargetState : std::uint8_t { kStarting, kServing, kDraining };

constexpr std::string_view ToString(TargetState state) {
  switch (state) {
    case TargetState::kStarting:
      return "starting";
    case TargetState::kServing:
      return "serving";
    case TargetState::kDraining:
      return "draining";
  }
  return "unknown";
}

}  // namespace citrongrade
