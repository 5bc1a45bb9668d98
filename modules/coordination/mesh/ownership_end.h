#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace citrongrade {

// Evidence that an owner no longer holds its keys. See docs/design/ownership.md
// for why each kind is enough.
struct OwnershipEnd {
  enum class Evidence : std::uint8_t {
    // The target answered or reported that it has released them.
    kReleased,
    // The owner's node let the target's hold run out.
    kHoldExpired,
    // The owner's node has found the target dead, or its holds expired.
    kTargetGone,
    // Another process of the target has started, and the grants meant for the
    // earlier one have been released or have run out.
    kNewIncarnation,
    // The owner's node has not been heard of, and every lease of an earlier
    // leader or of an earlier process of the node is over.
    kEarlierLeasesExpired,
    // The owner's node is lost, and its lease is over.
    kLeaseExpired,
  };

  Evidence evidence = Evidence::kReleased;
  // How long ago the evidence was received.
  std::chrono::milliseconds age{0};

  friend auto operator<=>(const OwnershipEnd&, const OwnershipEnd&) = default;
};

}  // namespace citrongrade
