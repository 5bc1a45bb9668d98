#pragma once

#include <compare>
#include <optional>

#include "modules/state/member_id.h"
#include "modules/state/records/join_record.h"
#include "modules/state/witness_set.h"

namespace citrongrade {

// State of one member as replayed from the log.
struct Member {
  MemberId id;
  JoinRecord announcement;
  WitnessSet witnesses;
  // Proposed but not yet confirmed. While it is set, a takeover needs a
  // majority of both sets.
  std::optional<WitnessSet> pending_witnesses;

  friend auto operator<=>(const Member&, const Member&) = default;
};

}  // namespace citrongrade
