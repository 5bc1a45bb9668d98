#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/coordinator_dump.h"
#include "modules/coordination/messages/collect_ids_reply.h"
#include "modules/coordination/messages/ready_marker.h"
#include "modules/coordination/messages/registered_id.h"
#include "modules/coordination/slot_history.h"
#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"
#include "modules/state/takeover_history.h"

namespace citrongrade {

class IdRegistrar;
class MeshContext;
class RequestIdMemory;
class WitnessedIds;

// Knows for each own slot whether its memory of request ids is whole, and makes
// it whole after a takeover: collects the lost owner's ids from a majority of
// each of its witness sets, gives them to the own witnesses, and marks the slot
// ready. Where that can't be had the slot's history counts as lost until the
// resend horizon has passed.
class RecoveryCollector {
 public:
  using SlotEpochs = std::map<SlotIndex, Epoch>;

  // All outlive the collector.
  RecoveryCollector(MeshContext& context,
                    RequestIdMemory& memory,
                    IdRegistrar& registrar,
                    const WitnessedIds& witnessed);

  // This member came to own the slots by a record of this epoch.
  // Slots of a service that had no owners before: nothing can have run.
  void OnFirstAssignment(const std::vector<SlotIndex>& slots, Epoch epoch);
  // `before`: the slots with the epochs of the lost owner's grants.
  void OnTakeover(const TakeoverHistory& history, const SlotEpochs& before);
  // With ids that were handed over first.
  void OnReadyTransfer(SlotIndex slot, Epoch epoch);
  void OnHistoryLost(SlotIndex slot, Epoch epoch, Clock::TimePoint lost_until);
  void OnSlotLost(SlotIndex slot);

  void OnReply(const MemberId& witness, const CollectIdsReply& reply);
  // For tests of Safeguards::witness_incarnation: the member whose answer the
  // sender's is taken for.
  MemberId NamedWitness(const CollectIdsReply& reply,
                        const MemberId& sender) const;
  void Tick();

  // Null for a slot that this member does not own.
  const SlotHistory* Find(SlotIndex slot) const;
  // For a witness that is filled anew.
  std::vector<ReadyMarker> ReadyMarkers() const;
  std::vector<CoordinatorDump::RecoveryView> Dump() const;

 private:
  struct Answer {
    std::uint32_t next_chunk = 0;
    bool complete = false;
  };
  struct Collection {
    TakeoverHistory history;
    SlotEpochs slots;
    std::map<MemberId, Answer> answers;
    std::vector<RegisteredId> ids;
    std::set<ReadyMarker> markers;
    Clock::TimePoint started;
    Clock::TimePoint next_ask = Clock::TimePoint::min();
  };

  void TakeOwnAnswer(Collection& collection);
  bool IsComplete(const Collection& collection) const;
  void Ask(std::uint64_t id, Collection& collection);
  void AskWitness(std::uint64_t id,
                  const Collection& collection,
                  const MemberId& witness,
                  std::uint32_t chunk);
  void Finish(const Collection& collection);
  void GiveUpWaiting(const Collection& collection);
  void MarkReady(SlotIndex slot, SlotHistory& history);
  void EndLostHistories();
  // Some slot of the collection still waits for it.
  bool IsOfUse(const Collection& collection) const;

  MeshContext* m_context;
  RequestIdMemory* m_memory;
  IdRegistrar* m_registrar;
  // What this member itself knows as a witness of lost owners.
  const WitnessedIds* m_witnessed;
  std::map<SlotIndex, SlotHistory> m_histories;
  std::map<std::uint64_t, Collection> m_collections;
  std::uint64_t m_next_collection = 1;
};

}  // namespace citrongrade
