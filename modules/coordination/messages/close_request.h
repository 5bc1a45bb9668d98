#pragma once

#include <compare>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// Asks a witness to close a holder's lease for good and to testify so. Goes to
// the latest incarnation of the witness's node, which may be a later one than
// `witness`.
struct CloseRequest {
  MemberId holder;
  WitnessSetVersion version;
  // As named in the holder's witness set.
  MemberId witness;

  friend auto operator<=>(const CloseRequest&, const CloseRequest&) = default;
};

}  // namespace citrongrade
