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

// Neighbouring slots that one target's life got by one assignment.
struct SlotAssignment {
  SlotRange range;
  // Mesh address ("ip:port") of the owner's node; empty: nobody owns them.
  std::string owner;
  // They belong to this life of the owner's target, and to no other.
  TargetIncarnation incarnation;
  // Fencing token: higher than any with which another target had these slots.
  std::uint64_t fence = 0;
  // What the last holder gave at its release; empty when it gave none.
  std::string handover;
  // Set while the owner is to give them back.
  NextOwner next;
  // Version of the view that changed it last.
  std::uint64_t version = 0;

  bool has_owner() const { return !owner.empty(); }
  bool is_moving() const { return next.is_set(); }
  // All but the range and the version.
  bool SameAssignment(const SlotAssignment& other) const;

  friend auto operator<=>(const SlotAssignment&,
                          const SlotAssignment&) = default;
};

// Who owns which slots of one divided service: runs in order that together
// cover all slots. Splits and joins runs as slots are assigned. A value: no
// clock, no thread. Kin: MeshView holds one for each divided service.
class KeyTable {
 public:
  KeyTable();

  const std::vector<SlotAssignment>& assignments() const {
    return m_assignments;
  }
  const SlotAssignment& Find(std::uint32_t slot) const;
  // The runs that have a part of the range, in order; valid until Assign().
  std::span<const SlotAssignment> AssignmentsIn(const SlotRange& range) const;

  // Gives the run's slots its owner, whoever had them before.
  void Assign(const SlotAssignment& run);

  bool HasUnowned() const;
  std::uint32_t CountOwnedBy(const std::string& owner) const;

  friend bool operator==(const KeyTable&, const KeyTable&) = default;

 private:
  std::size_t IndexOf(std::uint32_t slot) const;
  void ReplaceAssignments(std::size_t from,
                          std::size_t to,
                          std::vector<SlotAssignment> runs);

  std::vector<SlotAssignment> m_assignments;
};

}  // namespace citrongrade
