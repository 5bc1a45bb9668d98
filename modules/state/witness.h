#pragma once

#include <compare>
#include <string>

#include "modules/state/member_id.h"

namespace citrongrade {

// One member of a witness set, with what proves later that its process is gone.
struct Witness {
  MemberId member;
  // Boot and peer address as in the member's join record.
  std::string boot_id;
  std::string peer_address;

  friend auto operator<=>(const Witness&, const Witness&) = default;
};

}  // namespace citrongrade
