#pragma once

#include <compare>

#include "modules/state/member_id.h"

namespace citrongrade {

// One member's work for a service, and what it could do, in busy slots.
struct MemberLoad {
  MemberId member;
  double load = 0;
  double capacity = 0;

  friend auto operator<=>(const MemberLoad&, const MemberLoad&) = default;
};

}  // namespace citrongrade
