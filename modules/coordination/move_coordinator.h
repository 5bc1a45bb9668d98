#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/coordinator_dump.h"
#include "modules/coordination/id_registrar.h"
#include "modules/coordination/messages/hand_off_reply.h"
#include "modules/coordination/messages/hand_off_request.h"
#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

class MeshContext;
class OwnershipBoard;
class RecoveryCollector;
class RequestIdMemory;

// Planned moves of own slots: a share to a node that joined, all of them when
// this node drains. Each move goes through: no new work starts in the slots,
// what runs there ends, the request ids go to the receiver and its witnesses,
// the transfer is appended, and read back.
//
// Moves cost churn and a moment of refusals, so they are few: only beyond the
// service's band, and as many a minute as its settings allow.
class MoveCoordinator {
 public:
  // All outlive it.
  MoveCoordinator(MeshContext& context,
                  RequestIdMemory& memory,
                  RecoveryCollector& recovery,
                  IdRegistrar& registrar,
                  const OwnershipBoard& board);

  void StartDraining() { m_draining = true; }

  // `is_serving`: this member holds its lease. `safe`: what a majority of the
  // witnesses has.
  void Tick(bool is_serving, IdRegistrar::Position safe);

  void OnHandOffRequest(const MemberId& sender, const HandOffRequest& request);
  void OnHandOffReply(const MemberId& sender, const HandOffReply& reply);

  // This member came to own the slot by a transfer record.
  void OnTransferToSelf(const MemberId& from, SlotIndex slot, Epoch epoch);

  // Own slots in which nothing new may start.
  std::set<SlotIndex> FrozenSlots() const;
  bool IsFrozen(SlotIndex slot) const;

  std::vector<CoordinatorDump::MoveView> Dump() const;

 private:
  enum class Stage : std::uint8_t {
    kWaitingForWork,
    kHandingOff,
    kTransferring,
  };
  struct Move {
    MemberId receiver;
    std::vector<SlotIndex> slots;
    Stage stage = Stage::kWaitingForWork;
    Clock::TimePoint stage_since;
    std::vector<HandOffRequest> chunks;
    std::size_t next_chunk = 0;
    Clock::TimePoint next_send = Clock::TimePoint::min();
    // Copies of the transfer; the rules accept one at most.
    std::vector<RecordId> appends;
  };
  // What another owner handed over for a slot that it is about to move here.
  struct Handed {
    MemberId from;
    std::uint64_t move = 0;
    bool ready = false;
    Clock::TimePoint lost_until = Clock::TimePoint::min();
  };
  // An answer that waits until the ids are safe with the own witnesses.
  struct OwedReply {
    MemberId sender;
    HandOffReply reply;
    IdRegistrar::Position position = 0;
  };

  void StartDrainMoves();
  void StartBalancingMoves();
  void StartMove(const MemberId& receiver, std::vector<SlotIndex> slots);
  std::vector<SlotIndex> FreeSlots() const;
  bool TakeFromBudget();
  // False when the move is over.
  bool Step(std::uint64_t id, Move& move);
  bool StepWaiting(std::uint64_t id, Move& move);
  bool StepHandingOff(Move& move);
  bool StepTransferring(Move& move);
  // The next move for balance has to wait.
  void WaitAfterFailure();
  bool IsWorkOver(const Move& move) const;
  bool OwnsAll(const Move& move) const;
  void MakeChunks(std::uint64_t id, Move& move) const;
  void SendOwedReplies(IdRegistrar::Position safe);
  void TakeIds(const MemberId& sender, const HandOffRequest& request);

  MeshContext* m_context;
  RequestIdMemory* m_memory;
  RecoveryCollector* m_recovery;
  IdRegistrar* m_registrar;
  const OwnershipBoard* m_board;
  bool m_draining = false;
  std::map<std::uint64_t, Move> m_moves;
  std::uint64_t m_next_move = 1;
  Clock::TimePoint m_next_plan = Clock::TimePoint::min();
  double m_budget = 0;
  Clock::TimePoint m_budget_at = Clock::TimePoint::min();
  std::map<SlotIndex, Handed> m_handed;
  std::vector<OwedReply> m_owed_replies;
};

}  // namespace citrongrade
