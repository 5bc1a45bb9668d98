#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/coordinator_dump.h"
#include "modules/coordination/messages/close_reply.h"
#include "modules/coordination/messages/close_request.h"
#include "modules/coordination/slot_spreader.h"
#include "modules/coordination/witness_ledger.h"
#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"
#include "modules/state/records/testimony.h"

namespace citrongrade {

class MeshContext;
struct Member;
struct WitnessSet;

// Ends the ownership of lost members. A witness whose grant ran out asks the
// other witnesses to close the lease; with a majority of each witness set it
// appends the record that spreads the slots over live members. Witnesses start
// one after the other by rank, so that most losses cost one record; duplicates
// are harmless, since the second names a member that is gone.
//
// Also takes back the slots of this node's own earlier incarnation, and answers
// the other witnesses' close requests.
class TakeoverCoordinator {
 public:
  // Both outlive it.
  TakeoverCoordinator(MeshContext& context, WitnessLedger& ledger);

  void Tick();
  void OnCloseRequest(const MemberId& sender, const CloseRequest& request);
  void OnCloseReply(const MemberId& sender, const CloseReply& reply);
  // What was measured across the jump of the clock is measured anew.
  void OnClockJump();

  std::vector<CoordinatorDump::TakeoverView> Dump() const;

 private:
  using TestimonyKey = std::pair<MemberId, WitnessSetVersion>;

  struct Attempt {
    std::map<TestimonyKey, Testimony> testimonies;
    Clock::TimePoint next_ask = Clock::TimePoint::min();
    std::optional<RecordId> append;
    std::uint32_t asked = 0;
    bool announced = false;
  };

  void FindLapsedHolders();
  // Neither the holder's confirmed set nor its pending one.
  bool IsLeftBehind(const Member& holder, WitnessSetVersion version) const;
  bool HasLapsed(const Member& holder) const;
  void StepAttempts();
  // False when the attempt is over.
  bool Step(const MemberId& lost, Attempt& attempt);
  void AskWitnesses(const Member& lost, Attempt& attempt);
  void AskSet(const Member& lost,
              const WitnessSet& set,
              const Attempt& attempt);
  bool HasMajorities(const Member& lost, const Attempt& attempt);
  std::size_t CountFor(const Member& lost,
                       const WitnessSet& set,
                       const Attempt& attempt);
  bool CountsAsDeparted(const MemberId& witness);
  bool CanCloseItself(const Member& lost, const WitnessSet& set) const;
  std::vector<Testimony> TakeTestimonies(const Member& lost,
                                         const Attempt& attempt);
  std::vector<SlotSpreader::Receiver> ReceiversOf(const Member& lost);
  // Its slots, if it has any, could go to somebody.
  bool CanBeSpread(const Member& lost);
  void AppendTakeover(const Member& lost, Attempt& attempt);
  void TakeBackEarlierIncarnations();
  void RemoveMembersWithoutWitnesses();
  CloseReply AnswerFor(const CloseRequest& request);

  MeshContext* m_context;
  WitnessLedger* m_ledger;
  std::map<MemberId, Attempt> m_attempts;
  // Since when the log says that a witness is gone for good.
  std::map<MemberId, Clock::TimePoint> m_departed_since;
  std::map<MemberId, std::optional<RecordId>> m_take_backs;
  std::map<MemberId, Clock::TimePoint> m_without_witnesses_since;
  std::map<MemberId, std::optional<RecordId>> m_removals;
};

}  // namespace citrongrade
