#pragma once

#include <compare>
#include <cstdint>

#include "modules/state/identifiers.h"

namespace citrongrade {

// A holder (the message's sender) asks a witness for a lease on all its slots.
struct LeaseRequest {
  // The holder's witness set that names the receiver.
  WitnessSetVersion version;
  // Repeated in the reply, so that the holder counts from the moment it sent
  // this very request.
  std::uint64_t sequence = 0;

  friend auto operator<=>(const LeaseRequest&, const LeaseRequest&) = default;
};

}  // namespace citrongrade
