#pragma once

#include <cstdint>
#include <string_view>

namespace citrongrade {

// What became of a request that asked for a slot to run in.
enum class SlotOutcome : std::uint8_t {
  kEntered,
  kShed,
  kDeadlinePassed,
  kCancelled,
};

constexpr std::string_view ToString(SlotOutcome outcome) {
  switch (outcome) {
    case SlotOutcome::kEntered:
      return "entered";
    case SlotOutcome::kShed:
      return "shed";
    case SlotOutcome::kDeadlinePassed:
      return "deadline-passed";
    case SlotOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace citrongrade
