#pragma once

#include <chrono>
#include <optional>
#include <random>

namespace citrongrade {

struct AttemptResult;
struct CallRecord;
struct LoadSettings;

// Whether and when a caller sends the same call, with the same id, again. A
// caller that is asked to wait waits at least that long.
std::optional<std::chrono::milliseconds> ResendDelay(
    const LoadSettings& settings,
    const CallRecord& record,
    const AttemptResult& result,
    std::mt19937_64& random);

}  // namespace citrongrade
