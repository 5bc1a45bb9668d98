#pragma once

#include <compare>
#include <string>

#include "modules/state/member_id.h"

namespace citrongrade {

// An operator declares that a member is permanently gone when neither witnesses
// nor a restart can prove it. The member's slots become unowned.
struct ForgetRecord {
  MemberId member;
  std::string operator_name;

  friend auto operator<=>(const ForgetRecord&, const ForgetRecord&) = default;
};

}  // namespace citrongrade
