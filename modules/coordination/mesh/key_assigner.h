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
#include "modules/coordination/mesh/ownership_end.h"
#include "modules/state/mesh/key_table.h"

namespace citrongrade {

// The leader's assignment of keys to targets: assigns keys without an owner,
// plans moves away from targets that leave or are overloaded, and passes
// released keys on.
//
// In every tick call SetMembers() and then the step functions. TakeChanges()
// returns what changed; it has to be stored before it is published. Keys that
// are to move stay with their owner, with the next owner recorded, until
// OnReleased() is called or the owner is lost.
//
// Only plans: nothing takes effect by itself. Not thread-safe. See also
// MeshLeader, which knows which nodes are alive; KeyPlacement, which selects
// receivers; KeyBalancer, which selects the keys to move.
class KeyAssigner {
 public:
  struct Member {
    std::string address;
    std::string service;
    TargetIncarnation incarnation;
    bool may_receive = false;
    // Keys may move away from it for balance.
    bool may_give = true;
    bool must_drain = false;
    // Requests per second.
    double capacity = 1;

    friend auto operator<=>(const Member&, const Member&) = default;
  };

  struct Change {
    std::string service;
    SlotAssignment assignment;

    friend auto operator<=>(const Change&, const Change&) = default;
  };

  // `tables`: as stored by the previous leader.
  KeyAssigner(std::uint64_t epoch, std::map<std::string, KeyTable> tables);

  void SetMembers(std::vector<Member> members);
  // Adds a service whose keys are sharded between targets.
  void AddService(const std::string& service);

  void AddRequestCounts(
      const std::string& service,
      const std::vector<Heartbeat::SlotRequestCount>& request_counts);
  // Ends a round of request counting that lasted `seconds`.
  void EndMeasurementRound(double seconds);

  // Steps of a tick.
  // `find_end`: why the owner no longer holds the slots; nothing if it may.
  void UnassignLostOwners(
      const std::function<std::optional<OwnershipEnd>(const SlotAssignment&)>&
          find_end);
  void AssignUnowned();
  void PlanDrains();
  void PlanRebalancing();

  // Reporting keys again that were already released has no effect.
  void OnReleased(const std::string& from,
                  const Heartbeat::ReleasedRange& released);

  std::vector<Change> TakeChanges();
  // Assignments that owners lose by the changes; publish them at once, before
  // they are stored. Otherwise an owner that was considered lost could come
  // back and get a lease for keys that a stored change is about to assign to
  // another.
  std::vector<Change> TakeWithdrawals();
  // Changes by which keys passed to the next owner that their assignment named.
  // If that assignment has been stored, the change may be published without
  // storing it first.
  std::vector<Change> TakeCompletedMoves();
  std::size_t change_count() const { return m_changes.size(); }
  const std::map<std::string, KeyTable>& tables() const { return m_tables; }

 private:
  // Members that may receive keys of a service, with the selection of the next
  // receiver.
  struct Placement;

  std::vector<const Member*> ReceiversOf(const std::string& service) const;
  const Member* FindReceiver(const std::string& service,
                             const std::string& address) const;
  // Request rate of each slot, plus a small constant so that slots without
  // current load are spread as well.
  std::vector<float> SlotWeights(const std::string& service) const;
  // Nothing if no member may receive keys of the service.
  std::optional<Placement> MakePlacement(const std::string& service) const;
  KeyTable PlannedTable(const std::string& service) const;
  void AssignAllSlots(const std::string& service,
                      const std::vector<const Member*>& receivers);
  void AssignInPieces(const std::string& service,
                      const SlotAssignment& assignment,
                      Placement& placement);
  void PlanDrain(const std::string& service,
                 const SlotAssignment& assignment,
                 Placement& placement);
  void PlanMove(const std::string& service,
                const SlotAssignment& assignment,
                SlotRange range,
                const Member& to);
  // The owner no longer holds these slots; the next owner, if any, gets them.
  void CompleteRelease(const std::string& service,
                       SlotAssignment assignment,
                       const std::string& handover);
  // Replaces next owners that were lost before their keys had moved.
  void ReplaceNextOwners(const std::string& service,
                         const std::vector<SlotAssignment>& assignments);
  std::uint64_t NewFence();
  void AssignRange(const std::string& service,
                   SlotRange range,
                   const Member& receiver,
                   const std::string& handover);
  void RecordChange(const std::string& service,
                    const SlotAssignment& assignment);

  const std::uint64_t m_epoch;
  std::uint64_t m_fence_counter = 0;
  std::map<std::string, KeyTable> m_tables;
  std::vector<Member> m_members;
  std::vector<Change> m_changes;
  std::vector<Change> m_withdrawals;
  std::vector<Change> m_completed_moves;
  // By service and slot: requests in the current round, and per second.
  std::map<std::string, std::vector<float>> m_counts;
  std::map<std::string, std::vector<float>> m_rates;
  std::map<std::string, KeyBalancer> m_balancers;
};

}  // namespace citrongrade
