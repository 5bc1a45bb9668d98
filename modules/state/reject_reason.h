#pragma once

#include <cstdint>

namespace citrongrade {

// Why the replay did not accept a record. Every node comes to the same one.
enum class RejectReason : std::uint8_t {
  kUnreadable,
  kUnknownMember,
  // The member's node has a later incarnation.
  kSupersededMember,
  kMemberOwnsSlots,
  // The record is based on a version that is not the current one.
  kStaleVersion,
  kBadWitnessSet,
  kNothingPending,
  kUnknownService,
  kBadSlots,
  kNotOwner,
  // The slot's new owner has no witnesses that could end its lease.
  kOwnerWithoutWitnesses,
  kNotEnoughTestimonies,
  kBadTestimony,
  kInvalidConfig,
};

}  // namespace citrongrade
