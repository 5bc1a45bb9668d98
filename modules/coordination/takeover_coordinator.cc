#include "modules/coordination/takeover_coordinator.h"

#include <algorithm>

#include "modules/coordination/mesh_context.h"
#include "modules/coordination/slot_spreader.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

namespace {

// A member that died before it had witnesses owns nothing and is in nobody's
// way; it is removed at leisure.
constexpr std::chrono::seconds kPatienceWithoutWitnesses{30};

// The holder may be alive and merely out of this witness's reach: the others
// are asked less and less often, up to 800 ms apart.
constexpr std::uint32_t kMaxDoublings = 3;

std::vector<const WitnessSet*> SetsOf(const Member& member) {
  std::vector<const WitnessSet*> sets = {&member.witnesses};
  if (member.pending_witnesses.has_value()) {
    sets.push_back(&*member.pending_witnesses);
  }
  return sets;
}

std::vector<SlotIndex> SlotsOf(const MeshState& state, const Member& member) {
  const SlotTable* slots = state.FindSlots(member.announcement.service);
  return slots == nullptr ? std::vector<SlotIndex>()
                          : slots->SlotsOf(member.id);
}

std::size_t RankIn(const WitnessSet& set, const MemberId& witness) {
  std::size_t rank = 0;
  for (const Witness& other : set.witnesses) {
    if (other.member == witness) {
      return rank;
    }
    ++rank;
  }
  return rank;
}

}  // namespace

TakeoverCoordinator::TakeoverCoordinator(MeshContext& context,
                                         WitnessLedger& ledger)
    : m_context(&context), m_ledger(&ledger) {}

void TakeoverCoordinator::Tick() {
  if (m_context->FindSelf() == nullptr) {
    return;
  }
  FindLapsedHolders();
  StepAttempts();
  TakeBackEarlierIncarnations();
  RemoveMembersWithoutWitnesses();
}

void TakeoverCoordinator::FindLapsedHolders() {
  const MeshState& state = m_context->state();
  for (const WitnessLedger::LeaseKey& lease : m_ledger->Leases()) {
    const MemberId& holder = lease.first;
    const Member* member = state.FindMember(holder);
    if (member == nullptr) {
      const bool is_gone =
          state.next_offset().value() > holder.incarnation.value();
      if (is_gone) {
        m_ledger->Forget(holder);
      }
      continue;
    }
    if (IsLeftBehind(*member, lease.second)) {
      m_ledger->Forget(lease);
      continue;
    }
    if (!m_attempts.contains(holder) && HasLapsed(*member)) {
      m_attempts.emplace(holder, Attempt());
    }
  }
}

bool TakeoverCoordinator::IsLeftBehind(const Member& holder,
                                       WitnessSetVersion version) const {
  const bool was_read =
      version.value() < m_context->state().next_offset().value();
  const std::vector<const WitnessSet*> sets = SetsOf(holder);
  return was_read && std::none_of(sets.begin(), sets.end(),
                                  [version](const WitnessSet* set) {
                                    return set->version == version;
                                  });
}

bool TakeoverCoordinator::HasLapsed(const Member& holder) const {
  const MemberId& self = *m_context->self();
  for (const WitnessSet* set : SetsOf(holder)) {
    if (set->Find(self) == nullptr) {
      continue;
    }
    const Clock::TimePoint lapses =
        m_ledger->LapsesAt({holder.id, set->version});
    const Clock::Duration turn =
        RankIn(*set, self) * m_context->settings().takeover_stagger;
    return lapses != Clock::TimePoint::max() &&
           m_context->now() >= lapses + turn;
  }
  return false;
}

void TakeoverCoordinator::StepAttempts() {
  for (auto it = m_attempts.begin(); it != m_attempts.end();) {
    it = Step(it->first, it->second) ? std::next(it) : m_attempts.erase(it);
  }
}

bool TakeoverCoordinator::Step(const MemberId& lost, Attempt& attempt) {
  const Member* member = m_context->state().FindMember(lost);
  if (member == nullptr || !HasLapsed(*member)) {
    return false;
  }
  if (m_context->IsAwaited(attempt.append)) {
    return true;
  }
  if (!attempt.announced) {
    attempt.announced = true;
    m_context->health().Suspect(lost, m_context->now());
    m_context->Broadcast(LapseNotice{lost});
  }
  // A lease that is closed while nobody can take the slots would only keep its
  // holder from serving them when it is back.
  if (!CanBeSpread(*member)) {
    return true;
  }
  if (HasMajorities(*member, attempt)) {
    AppendTakeover(*member, attempt);
    return true;
  }
  if (m_context->now() >= attempt.next_ask) {
    const std::uint32_t doublings = std::min(attempt.asked, kMaxDoublings);
    attempt.next_ask = m_context->now() +
                       m_context->settings().retry_interval * (1U << doublings);
    ++attempt.asked;
    AskWitnesses(*member, attempt);
  }
  return true;
}

void TakeoverCoordinator::AskWitnesses(const Member& lost, Attempt& attempt) {
  for (const WitnessSet* set : SetsOf(lost)) {
    AskSet(lost, *set, attempt);
  }
}

void TakeoverCoordinator::AskSet(const Member& lost,
                                 const WitnessSet& set,
                                 const Attempt& attempt) {
  for (const Witness& witness : set.witnesses) {
    const bool known =
        attempt.testimonies.contains({witness.member, set.version});
    const Member* current =
        m_context->state().FindCurrentMember(witness.member.node);
    if (known || current == nullptr || current->id == m_context->self()) {
      continue;
    }
    m_context->Send(current->id,
                    CloseRequest{lost.id, set.version, witness.member});
  }
}

bool TakeoverCoordinator::HasMajorities(const Member& lost,
                                        const Attempt& attempt) {
  const std::vector<const WitnessSet*> sets = SetsOf(lost);
  return std::all_of(
      sets.begin(), sets.end(), [this, &lost, &attempt](const WitnessSet* set) {
        return CountFor(lost, *set, attempt) >= set->MajoritySize();
      });
}

std::size_t TakeoverCoordinator::CountFor(const Member& lost,
                                          const WitnessSet& set,
                                          const Attempt& attempt) {
  std::size_t count = 0;
  for (const Witness& witness : set.witnesses) {
    const bool testified =
        attempt.testimonies.contains({witness.member, set.version});
    const bool is_self = witness.member == m_context->self();
    if (testified || (is_self && CanCloseItself(lost, set)) ||
        CountsAsDeparted(witness.member)) {
      ++count;
    }
  }
  return count;
}

bool TakeoverCoordinator::CountsAsDeparted(const MemberId& witness) {
  if (!m_context->state().IsDeparted(witness)) {
    return false;
  }
  // What it granted just before it went may still run.
  const auto since =
      m_departed_since.try_emplace(witness, m_context->now()).first->second;
  const Clock::Duration whole_lease =
      m_context->settings().lease_duration + m_context->settings().drift_margin;
  return m_context->now() - since >= whole_lease;
}

bool TakeoverCoordinator::CanCloseItself(const Member& lost,
                                         const WitnessSet& set) const {
  const auto time =
      m_ledger->TimeToClose({lost.id, set.version}, m_context->now());
  return time.has_value() && time->count() == 0;
}

std::vector<Testimony> TakeoverCoordinator::TakeTestimonies(
    const Member& lost,
    const Attempt& attempt) {
  std::vector<Testimony> testimonies;
  for (const WitnessSet* set : SetsOf(lost)) {
    if (set->Find(*m_context->self()) != nullptr &&
        CanCloseItself(lost, *set)) {
      m_ledger->Close({lost.id, set->version});
      testimonies.push_back({*m_context->self(), set->version, false});
    }
    for (const auto& [key, testimony] : attempt.testimonies) {
      if (key.second == set->version) {
        testimonies.push_back(testimony);
      }
    }
  }
  return testimonies;
}

void TakeoverCoordinator::AppendTakeover(const Member& lost, Attempt& attempt) {
  if (!m_context->log_available()) {
    return;
  }
  const ServiceId& service = lost.announcement.service;
  const std::vector<SlotIndex> slots = SlotsOf(m_context->state(), lost);
  const TakeoverRecord record{lost.id, service, TakeTestimonies(lost, attempt),
                              SlotSpreader::Spread(slots, ReceiversOf(lost))};
  attempt.append = m_context->Append(record);
}

std::vector<SlotSpreader::Receiver> TakeoverCoordinator::ReceiversOf(
    const Member& lost) {
  std::vector<SlotSpreader::Receiver> receivers =
      SlotSpreader::ReceiversFor(*m_context, lost.announcement.service);
  std::erase_if(receivers, [&lost](const SlotSpreader::Receiver& receiver) {
    return receiver.member == lost.id;
  });
  return receivers;
}

bool TakeoverCoordinator::CanBeSpread(const Member& lost) {
  return !m_context->state().OwnsSlots(lost.id) || !ReceiversOf(lost).empty();
}

void TakeoverCoordinator::TakeBackEarlierIncarnations() {
  const Member* self = m_context->FindSelf();
  const std::size_t mesh_size = m_context->state().CurrentMembers().size();
  const bool may_own = !self->witnesses.witnesses.empty() || mesh_size == 1;
  if (!may_own || !m_context->log_available()) {
    return;
  }
  for (const auto& [id, member] : m_context->state().members()) {
    const JoinRecord& earlier = member.announcement;
    const bool same_place =
        id.node == self->id.node && id.incarnation < self->id.incarnation &&
        !earlier.boot_id.empty() &&
        earlier.boot_id == self->announcement.boot_id &&
        earlier.peer_address == self->announcement.peer_address;
    if (!same_place || earlier.service != self->announcement.service) {
      continue;
    }
    std::optional<RecordId>& append = m_take_backs[id];
    if (m_context->IsAwaited(append)) {
      continue;
    }
    append = m_context->Append(TakeoverRecord{
        id,
        earlier.service,
        {},
        SlotSpreader::RunsOf(SlotsOf(m_context->state(), member), self->id)});
  }
}

void TakeoverCoordinator::RemoveMembersWithoutWitnesses() {
  const std::vector<const Member*> members =
      m_context->state().CurrentMembers();
  const bool has_turn =
      !members.empty() && members.front()->id == m_context->self();
  if (!has_turn || !m_context->log_available()) {
    return;
  }
  for (const Member* member : members) {
    const bool is_bare = member->witnesses.witnesses.empty() &&
                         member->id != m_context->self() &&
                         !m_context->state().OwnsSlots(member->id);
    if (!is_bare) {
      m_without_witnesses_since.erase(member->id);
      continue;
    }
    const auto since =
        m_without_witnesses_since.try_emplace(member->id, m_context->now())
            .first->second;
    std::optional<RecordId>& append = m_removals[member->id];
    if (m_context->now() - since < kPatienceWithoutWitnesses ||
        m_context->IsAwaited(append)) {
      continue;
    }
    append = m_context->Append(
        TakeoverRecord{member->id, member->announcement.service, {}, {}});
  }
}

void TakeoverCoordinator::OnCloseRequest(const MemberId& sender,
                                         const CloseRequest& request) {
  m_context->Send(sender, AnswerFor(request));
}

CloseReply TakeoverCoordinator::AnswerFor(const CloseRequest& request) {
  CloseReply reply{request.holder, request.version, std::nullopt, {}};
  const MemberId& self = *m_context->self();
  const Clock::TimePoint now = m_context->now();
  if (request.witness != self) {
    if (request.witness.node != self.node ||
        request.witness.incarnation > self.incarnation) {
      return reply;
    }
    // This process never granted anything, but its predecessor did, and those
    // grants run on: it may speak for it only when they must have ended.
    const bool checks = m_context->safeguards().witness_incarnation;
    reply.retry_after = m_ledger->TimeToTestifyWithoutMemory(now);
    if (!checks || reply.retry_after.count() == 0) {
      reply.testimony = Testimony{request.witness, request.version, checks};
    }
    return reply;
  }
  const WitnessLedger::LeaseKey lease(request.holder, request.version);
  const auto time = m_ledger->TimeToClose(lease, now);
  if (!time.has_value()) {
    return reply;
  }
  reply.retry_after = *time;
  if (time->count() == 0) {
    m_ledger->Close(lease);
    reply.testimony = Testimony{self, request.version, false};
  }
  return reply;
}

void TakeoverCoordinator::OnCloseReply(const MemberId& /*sender*/,
                                       const CloseReply& reply) {
  const auto found = m_attempts.find(reply.holder);
  if (found == m_attempts.end()) {
    return;
  }
  Attempt& attempt = found->second;
  if (reply.testimony.has_value()) {
    attempt.testimonies[{reply.testimony->witness, reply.version}] =
        *reply.testimony;
  } else if (reply.retry_after.count() > 0) {
    attempt.next_ask =
        std::min(attempt.next_ask, m_context->now() + reply.retry_after);
  }
}

void TakeoverCoordinator::OnClockJump() {
  for (auto& [witness, since] : m_departed_since) {
    since = m_context->now();
  }
}

std::vector<CoordinatorDump::TakeoverView> TakeoverCoordinator::Dump() const {
  std::vector<CoordinatorDump::TakeoverView> views;
  for (const auto& [lost, attempt] : m_attempts) {
    CoordinatorDump::TakeoverView view;
    view.lost = lost;
    view.testimonies = attempt.testimonies.size();
    const Member* member = m_context->state().FindMember(lost);
    if (member != nullptr) {
      for (const Witness& witness : member->witnesses.witnesses) {
        if (!attempt.testimonies.contains(
                {witness.member, member->witnesses.version})) {
          view.waits_for.push_back(witness.member);
        }
      }
    }
    views.push_back(std::move(view));
  }
  return views;
}

}  // namespace citrongrade
