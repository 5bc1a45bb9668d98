#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/coordination/mesh/heartbeat.h"
#include "modules/coordination/mesh/key_balancer.h"
#include "modules/state/mesh/key_table.h"

namespace citrongrade {

// The leader's plan of who owns which keys: it gives out what nobody owns, has
// the targets that leave or are too busy give keys back, and hands these on.
//
// How to use it: SetMembers() and then the steps, every tick; what changed is
// in TakeChanges(), to be stored before it is published. Keys that are to move
// stay with their owner and name the next one, until OnReleased() or until the
// owner is lost.
//
// What it decides takes effect nowhere by itself. Thread-confined. Kin:
// MeshLeader, which knows who is alive; KeyPlacement, which says who gets keys;
// KeyBalancer, which says what to move.
class KeyAssigner {
 public:
  struct Member {
    std::string address;
    std::string service;
    TargetIncarnation incarnation;
    bool may_receive = false;
    bool must_drain = false;
    // Requests a second.
    double capacity = 1;

    friend auto operator<=>(const Member&, const Member&) = default;
  };

  struct Change {
    std::string service;
    SlotAssignment assignment;

    friend auto operator<=>(const Change&, const Change&) = default;
  };

  // `tables`: as stored by the leader before.
  KeyAssigner(std::uint64_t epoch, std::map<std::string, KeyTable> tables);

  void SetMembers(std::vector<Member> members);
  // A divided service whose keys are to be given out.
  void AddService(const std::string& service);

  void AddRequestCounts(
      const std::string& service,
      const std::vector<Heartbeat::SlotRequestCount>& arrivals);
  // Closes a round of counting that lasted `seconds`.
  void EndMeasurementRound(double seconds);

  // Steps of a tick.
  void UnassignLostOwners(
      const std::function<bool(const SlotAssignment&)>& is_lost);
  void AssignUnowned();
  void PlanDrains();
  void PlanRebalancing();

  // Once more for keys that it gave back already changes nothing.
  void OnReleased(const std::string& from,
                  const Heartbeat::ReleasedRange& released);

  std::vector<Change> TakeChanges();
  // What its owner loses by the changes: to be published at once, before they
  // are stored. Otherwise an owner that was taken for lost could come back and
  // get a lease for keys that a stored change is about to give to another.
  std::vector<Change> TakeWithdrawals();
  // Changes by which keys went to the next owner that their run had named. What
  // was stored with that name needs no storing before it is published.
  std::vector<Change> TakeCompletedMoves();
  std::size_t change_count() const { return m_changes.size(); }
  const std::map<std::string, KeyTable>& tables() const { return m_tables; }

 private:
  // Members that may get keys of a service, and which of them gets the next.
  struct Placement;

  std::vector<const Member*> ReceiversOf(const std::string& service) const;
  const Member* FindReceiver(const std::string& service,
                             const std::string& address) const;
  // Arrivals by slot, with a little added to each: keys without any load now
  // are spread as well.
  std::vector<float> SlotWeights(const std::string& service) const;
  // Nothing when nobody may get keys of the service.
  std::optional<Placement> MakePlacement(const std::string& service) const;
  KeyTable PlannedTable(const std::string& service) const;
  void AssignAllSlots(const std::string& service,
                      const std::vector<const Member*>& receivers);
  void AssignInPieces(const std::string& service,
                      const SlotAssignment& run,
                      Placement& placement);
  void PlanDrain(const std::string& service,
                 const SlotAssignment& run,
                 Placement& placement);
  void PlanMove(const std::string& service,
                const SlotAssignment& run,
                SlotRange range,
                const Member& to);
  // The owner of this part has it no longer.
  void CompleteRelease(const std::string& service,
                       SlotAssignment run,
                       const std::string& handover);
  // The next owners of keys that still are to move are lost.
  void ReplaceNextOwners(const std::string& service,
                         const std::vector<SlotAssignment>& runs);
  std::uint64_t NewFence();
  void AssignRange(const std::string& service,
                   SlotRange range,
                   const Member& receiver,
                   const std::string& handover);
  void RecordChange(const std::string& service, const SlotAssignment& run);

  const std::uint64_t m_epoch;
  std::uint64_t m_fence_counter = 0;
  std::map<std::string, KeyTable> m_tables;
  std::vector<Member> m_members;
  std::vector<Change> m_changes;
  std::vector<Change> m_withdrawals;
  std::vector<Change> m_completed_moves;
  // By service and slot: requests in this round, and a second.
  std::map<std::string, std::vector<float>> m_counts;
  std::map<std::string, std::vector<float>> m_rates;
  std::map<std::string, KeyBalancer> m_balancers;
};

}  // namespace citrongrade
