#pragma once

#include <cstdint>

namespace citrongrade {

// What is known of a request, told to its caller.
enum class RequestOutcome : std::uint8_t {
  // The target's whole answer.
  kDone,
  // Proved that it did not run: safe to send again.
  kNotRun,
  // It may have run.
  kUnknown,
};

}  // namespace citrongrade
