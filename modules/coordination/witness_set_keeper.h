#pragma once

#include <optional>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/id_registrar.h"
#include "modules/coordination/lease_holder.h"
#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

class MeshContext;
struct Member;
struct WitnessSet;

// Keeps this member's witness set good: proposes another one when a witness is
// silent, leaves or refuses, and leads the change through its three steps
// (docs/design/ownership.md, "Change of witnesses").
class WitnessSetKeeper {
 public:
  // All outlive the keeper.
  WitnessSetKeeper(MeshContext& context,
                   LeaseHolder& lease,
                   IdRegistrar& registrar);

  void Tick();

  // Request ids up to here may run: safe with the counted set, and while the
  // change to a pending set is close, with that one too.
  IdRegistrar::Position SafePosition() const;
  // The caller acted on SafePosition(); a set that lacks some of those ids
  // can't be counted on.
  void NoteActedOn(IdRegistrar::Position position);

 private:
  struct Proposal {
    WitnessSetVersion based_on;
    RecordId append;
  };

  void LeadPending(const Member& self);
  bool MayChangeOver(const Member& self) const;
  bool IsPendingHopeless(const WitnessSet& pending) const;
  void ConfirmPending(const Member& self);
  void ProposeIfNeeded(const Member& self);
  std::vector<MemberId> PlanFor(const Member& self,
                                const WitnessSet& latest) const;
  // A proposal based on the set has been sent and did not surely fail.
  bool MayBeReplaced(WitnessSetVersion version) const;
  void ForgetOtherProposals(const Member& self);

  MeshContext* m_context;
  LeaseHolder* m_lease;
  IdRegistrar* m_registrar;
  std::vector<Proposal> m_proposals;
  std::optional<RecordId> m_confirmation;
  std::optional<WitnessSetVersion> m_pending_seen;
  Clock::TimePoint m_next_plan = Clock::TimePoint::min();
  Clock::TimePoint m_next_proposal = Clock::TimePoint::min();
  IdRegistrar::Position m_acted_on = 0;
};

}  // namespace citrongrade
