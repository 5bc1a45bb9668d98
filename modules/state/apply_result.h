#pragma once

#include <compare>
#include <optional>
#include <string>

#include "modules/state/reject_reason.h"

namespace citrongrade {

// Result of applying one log record to the replayed state.
struct ApplyResult {
  // Not set if the record was accepted.
  std::optional<RejectReason> rejected;
  // Text for operators, for example which configuration field is wrong.
  std::string detail;

  bool accepted() const { return !rejected.has_value(); }

  friend auto operator<=>(const ApplyResult&, const ApplyResult&) = default;
};

}  // namespace citrongrade
