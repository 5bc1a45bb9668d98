#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "modules/state/mesh/key_slot.h"
#include "modules/state/mesh/next_owner.h"
#include "modules/state/mesh/target_incarnation.h"

namespace citrongrade {

// Neighbouring slots that were assigned together to one incarnation of a
// target.
struct SlotAssignment {
  SlotRange range;
  // Mesh address ("ip:port") of the owner's node; empty if the slots have no
  // owner.
  std::string owner;
  // The incarnation of the owner's target that owns the slots; no other one
  // does.
  TargetIncarnation incarnation;
  // Fencing token: higher than any with which another target held these slots.
  std::uint64_t fence = 0;
  // Handover data from the last holder at its release; empty if it gave none.
  std::string handover;
  // Set while the owner is to release the slots.
  NextOwner next;
  // View version of the last change to this assignment.
  std::uint64_t version = 0;

  bool has_owner() const { return !owner.empty(); }
  bool is_moving() const { return next.is_set(); }
  // Compares everything except the range and the version.
  bool SameAssignment(const SlotAssignment& other) const;

  friend auto operator<=>(const SlotAssignment&,
                          const SlotAssignment&) = default;
};

// The owners of all slots of one sharded service: a sorted list of assignments
// that together cover all slots. Assignments are split and merged as slots are
// assigned. A plain value without clock or threads. See also MeshView, which
// holds one for each sharded service.
class KeyTable {
 public:
  KeyTable();

  const std::vector<SlotAssignment>& assignments() const {
    return m_assignments;
  }
  const SlotAssignment& Find(std::uint32_t slot) const;
  // The assignments that overlap the range, in order. Valid until the next
  // Assign().
  std::span<const SlotAssignment> AssignmentsIn(const SlotRange& range) const;

  // Assigns the slots of the range, whoever owned them before.
  void Assign(const SlotAssignment& assignment);

  bool HasUnowned() const;
  std::uint32_t CountOwnedBy(const std::string& owner) const;

  friend bool operator==(const KeyTable&, const KeyTable&) = default;

 private:
  std::size_t IndexOf(std::uint32_t slot) const;
  void ReplaceAssignments(std::size_t from,
                          std::size_t to,
                          std::vector<SlotAssignment> replacements);

  std::vector<SlotAssignment> m_assignments;
};

}  // namespace citrongrade
