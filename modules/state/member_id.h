#pragma once

#include <compare>

#include "modules/state/identifiers.h"

namespace citrongrade {

// One life of a node: what owns slots, holds leases and bears witness. A node
// that restarts is another member.
struct MemberId {
  NodeId node;
  Incarnation incarnation;

  friend auto operator<=>(const MemberId&, const MemberId&) = default;
};

}  // namespace citrongrade
