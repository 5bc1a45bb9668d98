#include "modules/coordination/witness_set_keeper.h"

#include <algorithm>

#include "modules/coordination/mesh_context.h"
#include "modules/coordination/witness_set_planner.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

namespace {

// A node that is cut off finds all witnesses silent, whichever it names; it
// must not fill the log with proposals.
constexpr std::chrono::milliseconds kTimeBetweenProposals{1000};

// Planning looks at every member; a change of a few ms more is soon enough.
constexpr std::chrono::milliseconds kTimeBetweenPlans{50};

std::vector<MemberId> MembersOf(const WitnessSet& set) {
  std::vector<MemberId> members;
  for (const Witness& witness : set.witnesses) {
    members.push_back(witness.member);
  }
  std::sort(members.begin(), members.end());
  return members;
}

}  // namespace

WitnessSetKeeper::WitnessSetKeeper(MeshContext& context,
                                   LeaseHolder& lease,
                                   IdRegistrar& registrar)
    : m_context(&context), m_lease(&lease), m_registrar(&registrar) {}

void WitnessSetKeeper::Tick() {
  const Member* self = m_context->FindSelf();
  if (self == nullptr) {
    return;
  }
  m_lease->SetWitnessSets(self->witnesses, self->pending_witnesses,
                          m_context->now());
  m_registrar->SetWitnessSets(self->witnesses, self->pending_witnesses);
  if (self->pending_witnesses.has_value()) {
    LeadPending(*self);
  } else {
    m_pending_seen.reset();
    m_confirmation.reset();
    ProposeIfNeeded(*self);
  }
}

IdRegistrar::Position WitnessSetKeeper::SafePosition() const {
  const Member* self = m_context->FindSelf();
  if (self == nullptr) {
    return 0;
  }
  if (!self->pending_witnesses.has_value()) {
    return m_registrar->SafePosition(self->witnesses);
  }
  const WitnessSet& pending = *self->pending_witnesses;
  const IdRegistrar::Position in_pending = m_registrar->SafePosition(pending);
  if (m_lease->CountsOnPending()) {
    return in_pending;
  }
  const IdRegistrar::Position in_confirmed =
      m_registrar->SafePosition(self->witnesses);
  // Under steady load ids would for ever be ahead of the pending set; from here
  // on they wait for both, so that the change can be made.
  const bool change_is_close = m_registrar->IsCopied(pending) &&
                               m_lease->HoldsPendingMajority(m_context->now());
  return change_is_close ? std::min(in_pending, in_confirmed) : in_confirmed;
}

void WitnessSetKeeper::NoteActedOn(IdRegistrar::Position position) {
  m_acted_on = std::max(m_acted_on, position);
}

void WitnessSetKeeper::LeadPending(const Member& self) {
  const WitnessSet& pending = *self.pending_witnesses;
  if (m_pending_seen != pending.version) {
    m_pending_seen = pending.version;
    m_confirmation.reset();
  }
  if (!m_lease->CountsOnPending() && MayChangeOver(self)) {
    m_lease->ChangeOver();
  }
  if (m_lease->CountsOnPending()) {
    ConfirmPending(self);
    return;
  }
  if (MayBeReplaced(pending.version) || IsPendingHopeless(pending)) {
    ProposeIfNeeded(self);
  }
}

bool WitnessSetKeeper::MayChangeOver(const Member& self) const {
  const WitnessSet& pending = *self.pending_witnesses;
  // A proposal that lands late would replace the set that the holder counts on,
  // and others could take over by a majority that the holder does not ask. The
  // replay accepts one successor of a set, so the holder waits for that one.
  if (MayBeReplaced(pending.version)) {
    return false;
  }
  if (!m_context->safeguards().pending_set_majority) {
    return true;
  }
  return m_lease->HoldsPendingMajority(m_context->now()) &&
         m_registrar->IsCopied(pending) &&
         m_registrar->SafePosition(pending) >= m_acted_on;
}

bool WitnessSetKeeper::IsPendingHopeless(const WitnessSet& pending) const {
  const auto useless =
      std::count_if(pending.witnesses.begin(), pending.witnesses.end(),
                    [this, &pending](const Witness& witness) {
                      return m_lease->IsSilent(witness.member, pending.version,
                                               m_context->now()) ||
                             m_lease->IsClosed(witness.member, pending.version);
                    });
  return pending.witnesses.size() - static_cast<std::size_t>(useless) <
         pending.MajoritySize();
}

void WitnessSetKeeper::ConfirmPending(const Member& self) {
  const bool failed = m_confirmation.has_value() &&
                      m_context->appends().OutcomeOf(*m_confirmation) ==
                          AppendTracker::Outcome::kFailed;
  if (m_context->IsAwaited(m_confirmation) ||
      (failed && !m_context->log_available())) {
    return;
  }
  m_confirmation = m_context->Append(
      WitnessSetConfirmedRecord{self.id, self.pending_witnesses->version});
}

void WitnessSetKeeper::ProposeIfNeeded(const Member& self) {
  const WitnessSet& latest = self.pending_witnesses.has_value()
                                 ? *self.pending_witnesses
                                 : self.witnesses;
  const Clock::TimePoint now = m_context->now();
  const bool waits = !m_proposals.empty() &&
                     m_proposals.back().based_on == latest.version &&
                     m_context->IsAwaited(m_proposals.back().append);
  const bool may_propose = m_context->log_available() && !waits &&
                           now >= std::max(m_next_proposal, m_next_plan);
  if (!may_propose) {
    return;
  }
  if (!latest.witnesses.empty()) {
    m_next_plan = now + kTimeBetweenPlans;
  }
  const std::vector<MemberId> plan = PlanFor(self, latest);
  // A witness that closed this version grants again under another one.
  const bool is_forced =
      self.pending_witnesses.has_value() ||
      std::any_of(latest.witnesses.begin(), latest.witnesses.end(),
                  [this, &latest](const Witness& witness) {
                    return m_lease->IsClosed(witness.member, latest.version);
                  });
  if (plan.empty() || (plan == MembersOf(latest) && !is_forced)) {
    return;
  }
  // A first set is urgent: without one the member can't own slots.
  m_next_proposal =
      latest.witnesses.empty() ? now : now + kTimeBetweenProposals;
  ForgetOtherProposals(self);
  const RecordId append =
      m_context->Append(WitnessSetRecord{self.id, latest.version, plan});
  m_proposals.push_back({latest.version, append});
}

std::vector<MemberId> WitnessSetKeeper::PlanFor(
    const Member& self,
    const WitnessSet& latest) const {
  const Clock::TimePoint now = m_context->now();
  for (const Witness& witness : latest.witnesses) {
    if (m_lease->IsSilent(witness.member, latest.version, now)) {
      m_context->health().Suspect(witness.member, now);
    }
  }
  const auto is_eligible = [this, now](const MemberId& member) {
    return m_context->health().IsEligible(member, now);
  };
  return WitnessSetPlanner::Plan(m_context->state(), self.id, MembersOf(latest),
                                 is_eligible);
}

bool WitnessSetKeeper::MayBeReplaced(WitnessSetVersion version) const {
  return std::any_of(m_proposals.begin(), m_proposals.end(),
                     [this, version](const Proposal& proposal) {
                       return proposal.based_on == version &&
                              m_context->appends().OutcomeOf(proposal.append) !=
                                  AppendTracker::Outcome::kFailed;
                     });
}

void WitnessSetKeeper::ForgetOtherProposals(const Member& self) {
  // A version that the log has left behind never comes back.
  std::erase_if(m_proposals, [&self](const Proposal& proposal) {
    return proposal.based_on != self.witnesses.version &&
           !(self.pending_witnesses.has_value() &&
             proposal.based_on == self.pending_witnesses->version);
  });
}

}  // namespace citrongrade
