#pragma once

#include <compare>
#include <optional>

#include "modules/state/member_id.h"
#include "modules/state/records/join_record.h"
#include "modules/state/witness_set.h"

namespace citrongrade {

// What the log says of one member.
struct Member {
  MemberId id;
  JoinRecord announcement;
  WitnessSet witnesses;
  // Proposed and not yet confirmed; a takeover needs a majority of both.
  std::optional<WitnessSet> pending_witnesses;

  friend auto operator<=>(const Member&, const Member&) = default;
};

}  // namespace citrongrade
