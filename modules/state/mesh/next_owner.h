#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "modules/state/mesh/target_incarnation.h"

namespace citrongrade {

// To whom keys go once their owner has given them back, or is lost. Stored
// before the owner is told to give them back: whoever leads then knows from the
// record alone whose they are, also while the store is away.
struct NextOwner {
  // Mesh address of its node; empty: the keys stay where they are.
  std::string address;
  TargetIncarnation incarnation;
  // Fencing token that it gets them by.
  std::uint64_t fence = 0;

  bool is_set() const { return !address.empty(); }

  friend auto operator<=>(const NextOwner&, const NextOwner&) = default;
};

}  // namespace citrongrade
