#pragma once

#include <compare>

#include "modules/state/member_id.h"

namespace citrongrade {

// The load of one member for a service and its capacity, both as the number of
// requests that run at once.
struct MemberLoad {
  MemberId member;
  double load = 0;
  double capacity = 0;

  friend auto operator<=>(const MemberLoad&, const MemberLoad&) = default;
};

}  // namespace citrongrade
