#pragma once

#include <optional>

#include "modules/coordination/clock.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

class MeshContext;
class MoveCoordinator;
class WitnessLedger;

// Leads a node out of the mesh: tells the others, has its slots handed over,
// waits until no holder names it as a witness and its last grant has run out,
// and appends the leave record.
class DrainCoordinator {
 public:
  // All outlive it.
  DrainCoordinator(MeshContext& context,
                   MoveCoordinator& moves,
                   WitnessLedger& ledger);

  void Start();
  void Tick();

  bool is_draining() const { return m_started.has_value(); }
  // Nobody is left to take the slots: the node may exit with them, and the
  // next node of the service takes over.
  bool HasGivenUp() const;

 private:
  bool IsNamedAsWitness() const;
  bool HasReceivers() const;
  void Leave();

  MeshContext* m_context;
  MoveCoordinator* m_moves;
  WitnessLedger* m_ledger;
  std::optional<Clock::TimePoint> m_started;
  Clock::TimePoint m_next_notice = Clock::TimePoint::min();
  // Since when it owns no slots.
  std::optional<Clock::TimePoint> m_empty_since;
  std::optional<Clock::TimePoint> m_without_receivers_since;
  std::optional<RecordId> m_leave;
};

}  // namespace citrongrade
