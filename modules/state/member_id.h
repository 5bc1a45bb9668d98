#pragma once

#include <compare>

#include "modules/state/identifiers.h"

namespace citrongrade {

// One incarnation of a node: the identity that owns slots, holds leases and
// acts as a witness. A node that restarts becomes another member.
struct MemberId {
  NodeId node;
  Incarnation incarnation;

  friend auto operator<=>(const MemberId&, const MemberId&) = default;
};

}  // namespace citrongrade
