#pragma once

#include <compare>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// A witness's word that a member's lease has lapsed and that it will not renew
// it under this version of the member's witness set.
struct Testimony {
  // As named in the witness set.
  MemberId witness;
  WitnessSetVersion version;
  // The witness restarted since: it speaks for its earlier incarnation, whose
  // request ids are lost.
  bool without_memory = false;

  friend auto operator<=>(const Testimony&, const Testimony&) = default;
};

}  // namespace citrongrade
