#pragma once

#include <compare>
#include <optional>
#include <string>

#include "modules/state/reject_reason.h"

namespace citrongrade {

// What the replay made of one record.
struct ApplyResult {
  // Empty: accepted.
  std::optional<RejectReason> rejected;
  // For people, for example which field of a configuration is wrong.
  std::string detail;

  bool accepted() const { return !rejected.has_value(); }

  friend auto operator<=>(const ApplyResult&, const ApplyResult&) = default;
};

}  // namespace citrongrade
