#pragma once

#include <compare>
#include <cstddef>

#include "modules/coordination/load/load_identifiers.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

// A target of a service that is not divided by key, as announced.
struct TargetDescription {
  TargetId id;
  AvailabilityZone zone;
  std::size_t concurrency = 1;

  friend auto operator<=>(const TargetDescription&,
                          const TargetDescription&) = default;
};

}  // namespace citrongrade
