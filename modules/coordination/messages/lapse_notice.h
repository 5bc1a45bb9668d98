#pragma once

#include <compare>

#include "modules/state/member_id.h"

namespace citrongrade {

// A witness tells all members that a holder's lease ran out, so that nobody
// gives slots to it or names it as a witness for some seconds. A hint only.
struct LapseNotice {
  MemberId holder;

  friend auto operator<=>(const LapseNotice&, const LapseNotice&) = default;
};

}  // namespace citrongrade
