#pragma once

#include <compare>
#include <string>

#include "modules/state/identifiers.h"

namespace citrongrade {

// How far a node has read the log, as it says itself.
struct NodeProgress {
  NodeId node;
  std::string control_address;
  // 0 while it doesn't answer.
  LogOffset next_offset;
  // Why it doesn't answer.
  std::string error;

  // It has applied the record at `offset`.
  bool HasApplied(LogOffset offset) const { return next_offset > offset; }

  friend auto operator<=>(const NodeProgress&, const NodeProgress&) = default;
};

}  // namespace citrongrade
