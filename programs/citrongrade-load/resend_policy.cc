#include "programs/citrongrade-load/resend_policy.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>

#include "programs/citrongrade-load/attempt_result.h"
#include "programs/citrongrade-load/call_record.h"
#include "programs/citrongrade-load/load_settings.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstDelay(50);
constexpr milliseconds kMaxDelay(2000);

bool IsOver(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kDone ||
         outcome == AttemptOutcome::kWrongAnswer;
}

}  // namespace

std::optional<milliseconds> ResendDelay(const LoadSettings& settings,
                                        const CallRecord& record,
                                        const AttemptResult& result,
                                        std::mt19937_64& random) {
  if (!settings.resends || IsOver(result.outcome) ||
      record.attempts >= settings.max_attempts) {
    return std::nullopt;
  }
  const milliseconds own_delay =
      std::min(kMaxDelay, kFirstDelay * (1 << std::min(record.attempts, 6U)));
  const milliseconds asked = std::max(own_delay, result.retry_after);
  // Callers that were refused together don't come back together.
  std::uniform_int_distribution<milliseconds::rep> spread(0, asked.count() / 2);
  return asked + milliseconds(spread(random));
}

}  // namespace citrongrade
