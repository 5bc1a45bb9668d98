#include "modules/coordination/recovery_collector.h"

#include <algorithm>
#include <utility>

#include "modules/coordination/id_registrar.h"
#include "modules/coordination/mesh_context.h"
#include "modules/coordination/request_id_memory.h"
#include "modules/coordination/witnessed_ids.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

RecoveryCollector::RecoveryCollector(MeshContext& context,
                                     RequestIdMemory& memory,
                                     IdRegistrar& registrar,
                                     const WitnessedIds& witnessed)
    : m_context(&context),
      m_memory(&memory),
      m_registrar(&registrar),
      m_witnessed(&witnessed) {}

void RecoveryCollector::OnFirstAssignment(const std::vector<SlotIndex>& slots,
                                          Epoch epoch) {
  for (const SlotIndex slot : slots) {
    SlotHistory& history = m_histories[slot];
    history.epoch = epoch;
    MarkReady(slot, history);
  }
}

void RecoveryCollector::OnTakeover(const TakeoverHistory& history,
                                   const SlotEpochs& before) {
  const Clock::TimePoint now = m_context->now();
  Collection collection;
  collection.history = history;
  collection.slots = before;
  collection.started = now;
  const bool has_no_witnesses =
      std::any_of(history.witness_sets.begin(), history.witness_sets.end(),
                  [](const WitnessSet& set) { return set.witnesses.empty(); });
  for (const auto& [slot, epoch] : before) {
    SlotHistory& own = m_histories[slot];
    own.epoch = history.epoch;
    own.lost_until = now + m_context->ResendHorizon();
    own.state = has_no_witnesses ? SlotHistory::State::kLost
                                 : SlotHistory::State::kRecovering;
    if (!m_context->safeguards().request_id_collection) {
      MarkReady(slot, own);
    }
  }
  if (has_no_witnesses || !m_context->safeguards().request_id_collection) {
    return;
  }
  for (const WitnessSet& set : history.witness_sets) {
    for (const Witness& witness : set.witnesses) {
      collection.answers.try_emplace(witness.member);
    }
  }
  TakeOwnAnswer(collection);
  if (IsComplete(collection)) {
    Finish(collection);
    return;
  }
  m_collections.emplace(m_next_collection++, std::move(collection));
}

void RecoveryCollector::TakeOwnAnswer(Collection& collection) {
  const auto own = collection.answers.find(*m_context->self());
  if (own == collection.answers.end()) {
    return;
  }
  while (!own->second.complete) {
    const CollectIdsReply reply = m_witnessed->Collect(
        collection.history.lost, own->second.next_chunk, m_context->now());
    collection.ids.insert(collection.ids.end(), reply.ids.begin(),
                          reply.ids.end());
    collection.markers.insert(reply.markers.begin(), reply.markers.end());
    ++own->second.next_chunk;
    own->second.complete = reply.is_last;
  }
}

void RecoveryCollector::OnReadyTransfer(SlotIndex slot, Epoch epoch) {
  SlotHistory& history = m_histories[slot];
  history.epoch = epoch;
  MarkReady(slot, history);
}

void RecoveryCollector::OnHistoryLost(SlotIndex slot,
                                      Epoch epoch,
                                      Clock::TimePoint lost_until) {
  m_histories[slot] = {epoch, SlotHistory::State::kLost, lost_until};
}

void RecoveryCollector::OnSlotLost(SlotIndex slot) {
  m_histories.erase(slot);
}

void RecoveryCollector::OnReply(const MemberId& witness,
                                const CollectIdsReply& reply) {
  const auto found = m_collections.find(reply.collection);
  if (found == m_collections.end()) {
    return;
  }
  Collection& collection = found->second;
  const auto answer = collection.answers.find(witness);
  const bool expected = answer != collection.answers.end() &&
                        !answer->second.complete &&
                        answer->second.next_chunk == reply.chunk_index &&
                        collection.history.lost == reply.lost;
  if (!expected) {
    return;
  }
  collection.ids.insert(collection.ids.end(), reply.ids.begin(),
                        reply.ids.end());
  collection.markers.insert(reply.markers.begin(), reply.markers.end());
  ++answer->second.next_chunk;
  answer->second.complete = reply.is_last;
  if (!reply.is_last) {
    AskWitness(found->first, collection, witness, answer->second.next_chunk);
    return;
  }
  if (IsComplete(collection)) {
    Finish(collection);
    m_collections.erase(found);
  }
}

MemberId RecoveryCollector::NamedWitness(const CollectIdsReply& reply,
                                         const MemberId& sender) const {
  const auto found = m_collections.find(reply.collection);
  if (found != m_collections.end()) {
    for (const auto& [witness, answer] : found->second.answers) {
      if (witness.node == sender.node) {
        return witness;
      }
    }
  }
  return sender;
}

void RecoveryCollector::Tick() {
  const Clock::TimePoint now = m_context->now();
  EndLostHistories();
  for (auto it = m_collections.begin(); it != m_collections.end();) {
    Collection& collection = it->second;
    if (!IsOfUse(collection)) {
      it = m_collections.erase(it);
      continue;
    }
    if (now - collection.started >= m_context->settings().recovery_patience) {
      GiveUpWaiting(collection);
    }
    if (now >= collection.next_ask) {
      collection.next_ask = now + m_context->settings().retry_interval;
      Ask(it->first, collection);
    }
    ++it;
  }
}

const SlotHistory* RecoveryCollector::Find(SlotIndex slot) const {
  const auto found = m_histories.find(slot);
  return found == m_histories.end() ? nullptr : &found->second;
}

std::vector<ReadyMarker> RecoveryCollector::ReadyMarkers() const {
  std::vector<ReadyMarker> markers;
  for (const auto& [slot, history] : m_histories) {
    if (history.state == SlotHistory::State::kReady) {
      markers.push_back({slot, history.epoch});
    }
  }
  return markers;
}

std::vector<CoordinatorDump::RecoveryView> RecoveryCollector::Dump() const {
  std::vector<CoordinatorDump::RecoveryView> views;
  for (const auto& [id, collection] : m_collections) {
    CoordinatorDump::RecoveryView view;
    view.lost = collection.history.lost;
    view.slots = collection.slots.size();
    for (const auto& [witness, answer] : collection.answers) {
      if (!answer.complete) {
        view.waits_for.push_back(witness);
      }
    }
    view.history_lost = m_context->now() - collection.started >=
                        m_context->settings().recovery_patience;
    views.push_back(std::move(view));
  }
  return views;
}

bool RecoveryCollector::IsComplete(const Collection& collection) const {
  const auto has_majority = [&collection](const WitnessSet& set) {
    const auto complete =
        std::count_if(set.witnesses.begin(), set.witnesses.end(),
                      [&collection](const Witness& witness) {
                        return collection.answers.at(witness.member).complete;
                      });
    return static_cast<std::size_t>(complete) >= set.MajoritySize();
  };
  return std::all_of(collection.history.witness_sets.begin(),
                     collection.history.witness_sets.end(), has_majority);
}

void RecoveryCollector::Ask(std::uint64_t id, Collection& collection) {
  for (const auto& [witness, answer] : collection.answers) {
    if (!answer.complete) {
      AskWitness(id, collection, witness, answer.next_chunk);
    }
  }
}

void RecoveryCollector::AskWitness(std::uint64_t id,
                                   const Collection& collection,
                                   const MemberId& witness,
                                   std::uint32_t chunk) {
  MemberId receiver = witness;
  if (!m_context->safeguards().witness_incarnation) {
    const Member* current = m_context->state().FindCurrentMember(witness.node);
    receiver = current == nullptr ? witness : current->id;
  }
  // The witness itself, never a later incarnation of its node: that one has
  // forgotten, and its empty answer would pass for "nothing ran".
  m_context->Send(receiver, CollectIdsRequest{id, collection.history.lost,
                                              m_context->service(), chunk});
}

void RecoveryCollector::Finish(const Collection& collection) {
  const Clock::TimePoint now = m_context->now();
  for (const RegisteredId& id : collection.ids) {
    const SlotHistory* history = Find(id.slot);
    if (history == nullptr || !collection.slots.contains(id.slot)) {
      continue;
    }
    m_memory->Learn(id, nullptr, now);
    m_registrar->Add(id, now);
  }
  for (const auto& [slot, epoch_before] : collection.slots) {
    const auto found = m_histories.find(slot);
    if (found == m_histories.end() ||
        found->second.epoch != collection.history.epoch ||
        found->second.state == SlotHistory::State::kReady) {
      continue;
    }
    // Without the marker the lost owner had not learned what ran before it.
    if (collection.markers.contains({slot, epoch_before})) {
      MarkReady(slot, found->second);
    } else {
      found->second.state = SlotHistory::State::kLost;
    }
  }
}

void RecoveryCollector::GiveUpWaiting(const Collection& collection) {
  for (const auto& [slot, epoch_before] : collection.slots) {
    const auto found = m_histories.find(slot);
    if (found != m_histories.end() &&
        found->second.epoch == collection.history.epoch &&
        found->second.state == SlotHistory::State::kRecovering) {
      found->second.state = SlotHistory::State::kLost;
    }
  }
}

void RecoveryCollector::MarkReady(SlotIndex slot, SlotHistory& history) {
  history.state = SlotHistory::State::kReady;
  // Ids that are registered from now on come after the marker with every
  // witness, so that an id that may run implies the marker.
  m_registrar->Add(ReadyMarker{slot, history.epoch}, m_context->now());
}

void RecoveryCollector::EndLostHistories() {
  for (auto& [slot, history] : m_histories) {
    if (history.state == SlotHistory::State::kLost &&
        history.lost_until <= m_context->now()) {
      MarkReady(slot, history);
    }
  }
}

bool RecoveryCollector::IsOfUse(const Collection& collection) const {
  return std::any_of(collection.slots.begin(), collection.slots.end(),
                     [this, &collection](const auto& slot) {
                       const SlotHistory* history = Find(slot.first);
                       return history != nullptr &&
                              history->epoch == collection.history.epoch &&
                              history->state != SlotHistory::State::kReady;
                     });
}

}  // namespace citrongrade
