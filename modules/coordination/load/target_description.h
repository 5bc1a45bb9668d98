#pragma once

#include <compare>
#include <cstddef>

#include "modules/coordination/load/load_identifiers.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

// An announced target of a service that isn't sharded.
struct TargetDescription {
  TargetId id;
  AvailabilityZone zone;
  std::size_t concurrency = 1;

  friend auto operator<=>(const TargetDescription&,
                          const TargetDescription&) = default;
};

}  // namespace citrongrade
