#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

class MeshContext;

// Gives out slots that nobody owns: those of a new service once its members
// have settled, and those of a member that an operator declared gone. Members
// of the service take turns by rank, so that one record does it.
class SlotAssigner {
 public:
  // The context outlives the assigner.
  explicit SlotAssigner(MeshContext& context);

  void Tick();

 private:
  std::vector<SlotIndex> UnownedSlots() const;
  // Each member of the service has witnesses.
  bool AllMembersMayOwn() const;
  std::size_t Rank() const;
  bool HasSettled();

  MeshContext* m_context;
  std::optional<Clock::TimePoint> m_unowned_since;
  std::size_t m_member_count = 0;
  std::optional<RecordId> m_append;
};

}  // namespace citrongrade
