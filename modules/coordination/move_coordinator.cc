#include "modules/coordination/move_coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "modules/coordination/mesh_context.h"
#include "modules/coordination/ownership_board.h"
#include "modules/coordination/recovery_collector.h"
#include "modules/coordination/request_id_memory.h"
#include "modules/coordination/slot_spreader.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

namespace {

// A drain moves slots to so many members at a time.
constexpr std::size_t kMaxMovesAtOnce = 8;
// A receiver that does not take the ids within this is given up.
constexpr std::chrono::seconds kHandOffPatience{2};
constexpr std::chrono::milliseconds kTimeBetweenPlans{200};
// Slots that freeze again at once would be refused more than they are served.
constexpr std::chrono::seconds kDelayAfterFailure{2};
constexpr double kPercent = 100.0;
constexpr std::chrono::duration<double> kMinute = std::chrono::minutes(1);

}  // namespace

MoveCoordinator::MoveCoordinator(MeshContext& context,
                                 RequestIdMemory& memory,
                                 RecoveryCollector& recovery,
                                 IdRegistrar& registrar,
                                 const OwnershipBoard& board)
    : m_context(&context),
      m_memory(&memory),
      m_recovery(&recovery),
      m_registrar(&registrar),
      m_board(&board) {}

void MoveCoordinator::Tick(bool is_serving, IdRegistrar::Position safe) {
  SendOwedReplies(safe);
  for (auto it = m_moves.begin(); it != m_moves.end();) {
    it = Step(it->first, it->second) ? std::next(it) : m_moves.erase(it);
  }
  if (!is_serving || !m_context->log_available()) {
    return;
  }
  if (m_draining) {
    StartDrainMoves();
  } else if (m_moves.empty() && m_context->now() >= m_next_plan) {
    m_next_plan = m_context->now() + kTimeBetweenPlans;
    StartBalancingMoves();
  }
}

void MoveCoordinator::StartDrainMoves() {
  if (m_moves.size() >= kMaxMovesAtOnce) {
    return;
  }
  const std::vector<SlotIndex> slots = FreeSlots();
  if (slots.empty()) {
    return;
  }
  std::vector<SlotSpreader::Receiver> receivers =
      SlotSpreader::ReceiversFor(*m_context, m_context->service());
  std::erase_if(receivers, [this](const SlotSpreader::Receiver& receiver) {
    return receiver.member == m_context->self();
  });
  std::map<MemberId, std::vector<SlotIndex>> shares;
  for (const OwnedSlotRange& run : SlotSpreader::Spread(slots, receivers)) {
    for (std::uint32_t i = 0; i < run.count; ++i) {
      shares[run.owner].emplace_back(run.first.value() + i);
    }
  }
  for (auto& [receiver, share] : shares) {
    if (m_moves.size() < kMaxMovesAtOnce) {
      StartMove(receiver, std::move(share));
    }
  }
}

void MoveCoordinator::StartBalancingMoves() {
  const auto& settings = m_context->service_settings();
  if (settings == nullptr) {
    return;
  }
  const std::vector<SlotSpreader::Receiver> receivers =
      SlotSpreader::ReceiversFor(*m_context, m_context->service());
  double weights = 0;
  double slots = 0;
  for (const SlotSpreader::Receiver& receiver : receivers) {
    weights += receiver.weight;
    slots += receiver.owned_slots;
  }
  const auto fair_share = [weights, slots](const SlotSpreader::Receiver& one) {
    return slots * one.weight / weights;
  };
  const double band = settings->move_band_percent / kPercent;
  double own_excess = 0;
  double excess = 0;
  const SlotSpreader::Receiver* neediest = nullptr;
  double largest_deficit = 0;
  bool beyond_band = false;
  for (const SlotSpreader::Receiver& receiver : receivers) {
    const double fair = fair_share(receiver);
    const double over = receiver.owned_slots - fair;
    excess += std::max(over, 0.0);
    beyond_band = beyond_band || std::abs(over) > std::max(1.0, fair * band);
    if (receiver.member == m_context->self()) {
      own_excess = over;
    }
    if (-over > largest_deficit) {
      largest_deficit = -over;
      neediest = &receiver;
    }
  }
  if (!beyond_band || neediest == nullptr || own_excess < 1) {
    return;
  }
  // Owners with an excess share the deficit, so that together they don't give
  // more than is missing.
  const double share = std::min(
      own_excess, largest_deficit * own_excess / std::max(excess, 1.0));
  const auto count = static_cast<std::size_t>(std::max(1.0, std::floor(share)));
  std::vector<SlotIndex> free_slots = FreeSlots();
  if (free_slots.empty() || !TakeFromBudget()) {
    return;
  }
  if (free_slots.size() > count) {
    free_slots.erase(free_slots.begin(),
                     free_slots.end() - static_cast<std::ptrdiff_t>(count));
  }
  StartMove(neediest->member, std::move(free_slots));
}

void MoveCoordinator::StartMove(const MemberId& receiver,
                                std::vector<SlotIndex> slots) {
  Move move;
  move.receiver = receiver;
  move.slots = std::move(slots);
  move.stage_since = m_context->now();
  m_moves.emplace(m_next_move++, std::move(move));
}

std::vector<SlotIndex> MoveCoordinator::FreeSlots() const {
  const SlotTable* table = m_context->state().FindSlots(m_context->service());
  if (table == nullptr) {
    return {};
  }
  std::vector<SlotIndex> slots = table->SlotsOf(*m_context->self());
  std::erase_if(slots, [this](SlotIndex slot) {
    const SlotHistory* history = m_recovery->Find(slot);
    const bool recovering =
        history == nullptr || history->state == SlotHistory::State::kRecovering;
    return recovering || IsFrozen(slot);
  });
  return slots;
}

bool MoveCoordinator::TakeFromBudget() {
  const double per_minute = m_context->service_settings()->moves_per_minute;
  const Clock::TimePoint now = m_context->now();
  if (m_budget_at == Clock::TimePoint::min()) {
    m_budget = per_minute;
  } else {
    const std::chrono::duration<double> passed = now - m_budget_at;
    m_budget = std::min(per_minute, m_budget + per_minute * (passed / kMinute));
  }
  m_budget_at = now;
  if (m_budget < 1) {
    return false;
  }
  m_budget -= 1;
  return true;
}

bool MoveCoordinator::Step(std::uint64_t id, Move& move) {
  if (!OwnsAll(move)) {
    // Transferred, or lost in another way.
    return false;
  }
  switch (move.stage) {
    case Stage::kWaitingForWork:
      return StepWaiting(id, move);
    case Stage::kHandingOff:
      return StepHandingOff(move);
    case Stage::kTransferring:
      return StepTransferring(move);
  }
  return false;
}

bool MoveCoordinator::StepWaiting(std::uint64_t id, Move& move) {
  const Clock::Duration waited = m_context->now() - move.stage_since;
  // Freezing reaches the request threads by the board; the first tick after it
  // was published is the first that may count the work.
  const bool is_published = waited > Clock::Duration::zero();
  const bool is_over = IsWorkOver(move);
  if (!is_published ||
      (!is_over && waited < m_context->settings().move_patience)) {
    return true;
  }
  if (!is_over && !m_draining) {
    // Balance is not worth a request that runs while its slot moves.
    WaitAfterFailure();
    return false;
  }
  MakeChunks(id, move);
  move.stage = Stage::kHandingOff;
  move.stage_since = m_context->now();
  return true;
}

bool MoveCoordinator::StepHandingOff(Move& move) {
  const Clock::TimePoint now = m_context->now();
  if (move.next_chunk >= move.chunks.size()) {
    move.stage = Stage::kTransferring;
    move.stage_since = now;
    return true;
  }
  if (now - move.stage_since >= kHandOffPatience) {
    m_context->health().Suspect(move.receiver, now);
    WaitAfterFailure();
    return false;
  }
  if (now >= move.next_send) {
    move.next_send = now + m_context->settings().retry_interval;
    m_context->Send(move.receiver, move.chunks[move.next_chunk]);
  }
  return true;
}

bool MoveCoordinator::StepTransferring(Move& move) {
  using Outcome = AppendTracker::Outcome;
  bool all_failed = !move.appends.empty();
  bool any_decided = false;
  bool any_awaited = false;
  for (const RecordId& append : move.appends) {
    const Outcome outcome = m_context->appends().OutcomeOf(append);
    all_failed = all_failed && outcome == Outcome::kFailed;
    any_decided = any_decided || outcome == Outcome::kRejected ||
                  outcome == Outcome::kAccepted;
    any_awaited = any_awaited || m_context->IsAwaited(append);
  }
  // Every reason for which one copy is rejected holds for the others, too; and
  // one that was accepted, though the slots are here, has been undone since.
  if (all_failed || any_decided) {
    WaitAfterFailure();
    return false;
  }
  if (any_awaited) {
    return true;
  }
  if (!move.appends.empty() && !m_context->safeguards().read_back) {
    WaitAfterFailure();
    return false;
  }
  // An append without an answer may still take effect: were the slots served
  // again here, the receiver would serve them as well once it reads the record.
  // They stay frozen and another copy is sent; the log accepts one of them.
  if (m_context->log_available()) {
    move.appends.push_back(m_context->Append(
        TransferRecord{*m_context->self(), m_context->service(),
                       m_context->state().next_offset(),
                       SlotSpreader::RunsOf(move.slots, move.receiver)}));
  }
  return true;
}

void MoveCoordinator::WaitAfterFailure() {
  m_next_plan = m_context->now() + kDelayAfterFailure;
}

bool MoveCoordinator::IsWorkOver(const Move& move) const {
  return std::all_of(
      move.slots.begin(), move.slots.end(), [this](SlotIndex slot) {
        return !m_memory->HasUnfinished(slot) &&
               m_board->WorkInFlight(m_context->service(), slot) == 0;
      });
}

bool MoveCoordinator::OwnsAll(const Move& move) const {
  const SlotTable* table = m_context->state().FindSlots(m_context->service());
  return std::all_of(
      move.slots.begin(), move.slots.end(), [this, table](SlotIndex slot) {
        const auto owner = table->OwnerOf(slot);
        return owner.has_value() && owner->owner == m_context->self();
      });
}

void MoveCoordinator::MakeChunks(std::uint64_t id, Move& move) const {
  const Clock::TimePoint now = m_context->now();
  HandOffRequest whole;
  whole.move = id;
  whole.service = m_context->service();
  whole.slots = move.slots;
  for (const SlotIndex slot : move.slots) {
    const SlotHistory* history = m_recovery->Find(slot);
    if (history != nullptr && history->state == SlotHistory::State::kReady) {
      whole.ready_slots.push_back(slot);
    } else if (history != nullptr) {
      whole.history_lost_for = std::max(
          whole.history_lost_for, std::chrono::ceil<std::chrono::milliseconds>(
                                      history->lost_until - now));
    }
    for (HandedId& handed : m_memory->IdsOf(slot, now)) {
      whole.ids.push_back(std::move(handed));
    }
  }
  const std::vector<HandedId> ids = std::exchange(whole.ids, {});
  const std::size_t chunk_size = m_context->settings().ids_per_message;
  const std::size_t count =
      std::max<std::size_t>(1, (ids.size() + chunk_size - 1) / chunk_size);
  whole.chunk_count = static_cast<std::uint32_t>(count);
  for (std::size_t i = 0; i < count; ++i) {
    HandOffRequest chunk = whole;
    chunk.chunk_index = static_cast<std::uint32_t>(i);
    const std::size_t begin = i * chunk_size;
    const std::size_t end = std::min(ids.size(), begin + chunk_size);
    chunk.ids.assign(ids.begin() + static_cast<std::ptrdiff_t>(begin),
                     ids.begin() + static_cast<std::ptrdiff_t>(end));
    move.chunks.push_back(std::move(chunk));
  }
}

void MoveCoordinator::OnHandOffRequest(const MemberId& sender,
                                       const HandOffRequest& request) {
  const Member* self = m_context->FindSelf();
  const bool takes = self != nullptr && !m_draining &&
                     request.service == m_context->service() &&
                     !self->witnesses.witnesses.empty();
  if (!takes) {
    m_context->Send(sender,
                    HandOffReply{request.move, request.chunk_index, false});
    return;
  }
  TakeIds(sender, request);
  m_owed_replies.push_back(
      {sender, HandOffReply{request.move, request.chunk_index, true},
       m_registrar->last_position()});
}

void MoveCoordinator::TakeIds(const MemberId& sender,
                              const HandOffRequest& request) {
  const Clock::TimePoint now = m_context->now();
  for (const HandedId& handed : request.ids) {
    std::shared_ptr<const StoredAnswer> answer;
    if (handed.answer.has_value()) {
      answer = std::make_shared<const StoredAnswer>(*handed.answer);
    }
    m_memory->Learn(handed.id, std::move(answer), now);
    m_registrar->Add(handed.id, now);
  }
  for (const SlotIndex slot : request.slots) {
    Handed& entry = m_handed[slot];
    if (entry.from == sender && entry.move > request.move) {
      continue;
    }
    const bool ready =
        std::find(request.ready_slots.begin(), request.ready_slots.end(),
                  slot) != request.ready_slots.end();
    entry = {sender, request.move, ready, now + request.history_lost_for};
  }
}

void MoveCoordinator::SendOwedReplies(IdRegistrar::Position safe) {
  std::erase_if(m_owed_replies, [this, safe](const OwedReply& owed) {
    if (owed.position > safe) {
      return false;
    }
    m_context->Send(owed.sender, owed.reply);
    return true;
  });
}

void MoveCoordinator::OnHandOffReply(const MemberId& sender,
                                     const HandOffReply& reply) {
  const auto found = m_moves.find(reply.move);
  if (found == m_moves.end() || found->second.receiver != sender ||
      found->second.stage != Stage::kHandingOff ||
      found->second.next_chunk != reply.chunk_index) {
    return;
  }
  if (!reply.accepted) {
    m_context->health().Suspect(sender, m_context->now());
    m_moves.erase(found);
    return;
  }
  ++found->second.next_chunk;
  found->second.next_send = Clock::TimePoint::min();
}

void MoveCoordinator::OnTransferToSelf(const MemberId& from,
                                       SlotIndex slot,
                                       Epoch epoch) {
  const Clock::TimePoint now = m_context->now();
  const auto found = m_handed.find(slot);
  const bool handed = found != m_handed.end() && found->second.from == from;
  if (handed && found->second.ready) {
    m_recovery->OnReadyTransfer(slot, epoch);
  } else {
    m_recovery->OnHistoryLost(
        slot, epoch,
        handed ? found->second.lost_until : now + m_context->ResendHorizon());
  }
  if (handed) {
    m_handed.erase(found);
  }
}

std::set<SlotIndex> MoveCoordinator::FrozenSlots() const {
  std::set<SlotIndex> slots;
  for (const auto& [id, move] : m_moves) {
    slots.insert(move.slots.begin(), move.slots.end());
  }
  return slots;
}

bool MoveCoordinator::IsFrozen(SlotIndex slot) const {
  return std::any_of(m_moves.begin(), m_moves.end(), [slot](const auto& move) {
    const std::vector<SlotIndex>& slots = move.second.slots;
    return std::find(slots.begin(), slots.end(), slot) != slots.end();
  });
}

std::vector<CoordinatorDump::MoveView> MoveCoordinator::Dump() const {
  std::vector<CoordinatorDump::MoveView> views;
  for (const auto& [id, move] : m_moves) {
    CoordinatorDump::MoveView view;
    view.receiver = move.receiver;
    view.slots = move.slots.size();
    switch (move.stage) {
      case Stage::kWaitingForWork:
        view.stage = "waiting-for-work";
        break;
      case Stage::kHandingOff:
        view.stage = "handing-off";
        break;
      case Stage::kTransferring:
        view.stage = "transferring";
        break;
    }
    views.push_back(std::move(view));
  }
  return views;
}

}  // namespace citrongrade
