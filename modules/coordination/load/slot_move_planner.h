#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <random>
#include <span>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/member_load.h"
#include "modules/coordination/load/rebalancing_plan.h"
#include "modules/coordination/load/slot_load.h"

namespace citrongrade {

// Decides which of its slots an owner transfers to other members, and how fast.
//
// Two cases need moves: hot keys that change within minutes, and a member that
// joins. Without moves the owner of a hot slot saturates while other members
// idle. If slots moved at every change of load, they would move back and forth:
// each move makes the slot's keys unavailable for a moment and carries a risk
// that some deployments weigh higher than others, and a slot that is moved
// because it is hot may no longer be hot when it arrives.
//
// Each owner runs a planner for its own slots only, because only the owner
// writes transfers of its slots. Moves begin when the owner's utilization
// exceeds `start_threshold` times the mean utilization, and stop when it falls
// below `stop_threshold` (hysteresis); a load in between doesn't start moves.
// At most `moves_per_minute` are made.
//
// A move must be worth its cost: the share of a mean load that it takes away,
// times the difference in relative load between giver and receiver, times
// `payback_period`, times `unavailability_weight`, must exceed
// `downtime_per_move` times `churn_weight`.
//
// The receiver is the less loaded of two random members below the mean, so that
// several owners don't all choose the same one. An isolated key goes to the
// least loaded member, because few members have capacity for it.
//
// A key that alone causes more than `isolation_threshold` of a member's mean
// load, in a slot with other keys, is isolated: it moves to a slot of its own,
// because moving its whole slot would move all the other keys to no use. At
// most `max_isolated_keys` are isolated.
//
// Thread-confined. Only decides; the owner carries the moves out.
class SlotMovePlanner {
 public:
  struct Parameters {
    double start_threshold = 1.10;
    double stop_threshold = 1.04;
    // Consecutive calls of Plan() above `start_threshold` before moves begin.
    std::size_t rounds_to_start = 2;
    double moves_per_minute = 12;
    // A deployment in which moves hurt most uses 4 for churn and 1 for
    // unavailability; one in which overload hurts most uses 1 and 4.
    double churn_weight = 1;
    double unavailability_weight = 1;
    std::chrono::milliseconds downtime_per_move{300};
    std::chrono::seconds payback_period{300};
    double isolation_threshold = 0.25;
    std::size_t max_isolated_keys = 8;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  SlotMovePlanner(const Clock& clock,
                  std::mt19937_64& random,
                  const Parameters& parameters);
  ~SlotMovePlanner();
  SlotMovePlanner(const SlotMovePlanner&) = delete;
  SlotMovePlanner& operator=(const SlotMovePlanner&) = delete;

  // Loads are smoothed over about 10 s. `members` includes `self`. The moves in
  // the returned plan count as made and are charged to the budget.
  RebalancingPlan Plan(const MemberId& self,
                       std::span<const SlotLoad> own_slots,
                       std::span<const MemberLoad> members);

  // Call this when a key that this planner isolated is no longer hot and shares
  // a slot with other keys again.
  void OnIsolationEnded();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
