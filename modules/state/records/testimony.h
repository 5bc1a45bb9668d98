#pragma once

#include <compare>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// A witness's statement that a member's lease has expired and that the witness
// will not renew it under this version of the member's witness set.
struct Testimony {
  // The witness as named in the witness set.
  MemberId witness;
  WitnessSetVersion version;
  // The witness has restarted: it testifies for its earlier incarnation, whose
  // request ids are lost.
  bool without_memory = false;

  friend auto operator<=>(const Testimony&, const Testimony&) = default;
};

}  // namespace citrongrade
