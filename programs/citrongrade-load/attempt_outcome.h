#pragma once

#include <cstdint>
#include <string_view>

namespace citrongrade {

// What a caller knows after one attempt.
enum class AttemptOutcome : std::uint8_t {
  // The whole answer to its own call.
  kDone,
  // Proved that it did not run.
  kNotRun,
  // Told that it may have run.
  kUnknown,
  // No whole answer came: closed, cut, silent.
  kLost,
  // Told that it was done, with an answer that isn't its own or isn't whole.
  kWrongAnswer,
};

constexpr std::string_view ToString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kDone:
      return "done";
    case AttemptOutcome::kNotRun:
      return "not-run";
    case AttemptOutcome::kUnknown:
      return "unknown";
    case AttemptOutcome::kLost:
      return "lost";
    case AttemptOutcome::kWrongAnswer:
      return "wrong-answer";
  }
  return "unknown";
}

}  // namespace citrongrade
