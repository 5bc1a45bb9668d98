#pragma once

#include <compare>
#include <string>

#include "modules/state/member_id.h"

namespace citrongrade {

// One member of a witness set, with the data that later proves that its process
// has ended.
struct Witness {
  MemberId member;
  // Boot id and peer address from the member's join record.
  std::string boot_id;
  std::string peer_address;

  friend auto operator<=>(const Witness&, const Witness&) = default;
};

}  // namespace citrongrade
