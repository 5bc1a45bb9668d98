#pragma once

#include <cstdint>

namespace citrongrade {

// Why a record was rejected during replay. Every node reaches the same result.
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
  // The new owner has no witnesses that could testify that its lease has
  // expired.
  kOwnerWithoutWitnesses,
  kNotEnoughTestimonies,
  kBadTestimony,
  kInvalidConfig,
};

}  // namespace citrongrade
