#pragma once

#include <compare>
#include <cstdint>

#include "modules/state/identifiers.h"

namespace citrongrade {

// A witness's answer to a LeaseRequest.
struct LeaseReply {
  enum class Answer : std::uint8_t {
    kGranted,
    // It testified that the lease lapsed: it never grants this version again.
    kClosed,
    // It grants nothing at present, for example because it is leaving.
    kWithheld,
  };

  WitnessSetVersion version;
  std::uint64_t sequence = 0;
  Answer answer = Answer::kWithheld;

  friend auto operator<=>(const LeaseReply&, const LeaseReply&) = default;
};

}  // namespace citrongrade
