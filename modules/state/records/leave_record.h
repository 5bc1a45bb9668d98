#pragma once

#include <compare>

#include "modules/state/member_id.h"

namespace citrongrade {

// A member that owns no slots leaves permanently.
struct LeaveRecord {
  MemberId member;

  friend auto operator<=>(const LeaveRecord&, const LeaveRecord&) = default;
};

}  // namespace citrongrade
