#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "modules/state/mesh/target_departure.h"

namespace citrongrade {

// The part of a heartbeat by which a node tells the leader which targets at its
// address leave.
struct DepartureReport {
  // Those that are not stored yet, as far as the node knows.
  std::vector<DepartedTarget> unstored;
  // Hashes of ids under which a new process of the target has reported since.
  std::vector<std::uint64_t> retracted_ids;
  // DepartureReply::version of the leader's last reply; 0: none.
  std::uint64_t known_version = 0;

  friend auto operator<=>(const DepartureReport&,
                          const DepartureReport&) = default;
};

}  // namespace citrongrade
