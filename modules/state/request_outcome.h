#pragma once

#include <cstdint>

namespace citrongrade {

// What is known about the execution of a request, as reported to its caller.
enum class RequestOutcome : std::uint8_t {
  // The target's complete response was received.
  kDone,
  // The request certainly did not run: it is safe to send again.
  kNotRun,
  // The request may have run.
  kUnknown,
};

}  // namespace citrongrade
