#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "modules/state/mesh/target_departure.h"

namespace citrongrade {

// The part of the leader's reply by which it tells a node which departures of
// its targets are stored.
struct DepartureReply {
  // All that are stored for the node's address.
  std::vector<DepartedTarget> stored;
  // Increases whenever they change, from 1 on. 0: the leader's program doesn't
  // store departures.
  std::uint64_t version = 0;

  friend auto operator<=>(const DepartureReply&,
                          const DepartureReply&) = default;
};

}  // namespace citrongrade
