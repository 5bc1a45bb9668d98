#pragma once

#include <compare>

#include "modules/state/apply_result.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

// What the replay made of one record that stands in the log.
struct RecordOutcome {
  LogOffset offset;
  ApplyResult result;

  friend auto operator<=>(const RecordOutcome&, const RecordOutcome&) = default;
};

}  // namespace citrongrade
