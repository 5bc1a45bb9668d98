#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "modules/state/mesh/target_incarnation.h"

namespace citrongrade {

// The owner that keys go to once their current owner has released them or is
// lost. Stored before the current owner is asked to release them, so that a new
// leader knows the next owner from the record alone, even while the store is
// unavailable.
struct NextOwner {
  // Mesh address of the next owner's node; empty: the keys stay with their
  // owner.
  std::string address;
  TargetIncarnation incarnation;
  // Fencing token with which the next owner gets the keys.
  std::uint64_t fence = 0;

  bool is_set() const { return !address.empty(); }

  friend auto operator<=>(const NextOwner&, const NextOwner&) = default;
};

}  // namespace citrongrade
