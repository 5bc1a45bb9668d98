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

// Which of its slots an owner gives away, and how fast.
//
// Load patterns: hot keys that change within minutes; a member that joins.
// Without moves the owner of a hot slot saturates while others idle. Moved at
// every change, slots go back and forth: each move is a short gap for its keys
// and a risk that one user pays for most, and a slot that is moved because it
// is hot arrives when it no longer is.
//
// Runs at every owner, for its own slots only, as transfers are its own to
// write. Begins when the owner's load is over `begin_above` times the mean by
// capacity, stops at `stop_below` (hysteresis): in between, nothing moves.
// A move must pay: the share of a mean load that it takes away, times how much
// more loaded the giver is than the receiver, times `payback`, times
// `unavailability_weight`, must exceed `gap_per_move` times `churn_weight`.
// At most `moves_per_minute`. Receivers are the better of two random members
// below the mean, so that several owners don't all choose the same one; an
// isolated key goes to the least loaded, as few have room for one.
// A key that alone causes over `isolate_above` of a member's mean load, in a
// slot with others, goes to a slot of its own, at most `max_isolated_keys` of
// them: moving its whole slot would move all its neighbours for nothing.
//
// Thread-confined. Decides only; the owner carries moves out.
class SlotMovePlanner {
 public:
  struct Parameters {
    double start_threshold = 1.10;
    double stop_threshold = 1.04;
    // Calls of Plan() in a row that find it over `begin_above`.
    std::size_t rounds_to_start = 2;
    double moves_per_minute = 12;
    // The institute: churn 4, unavailability 1. The port: the other way round.
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

  // Loads as smoothed over some 10 s. `members` includes `self`. What it
  // returns counts as moved: the budget is paid.
  RebalancingPlan Plan(const MemberId& self,
                       std::span<const SlotLoad> own_slots,
                       std::span<const MemberLoad> members);

  // A key isolated by this planner is hot no longer and shares a slot again.
  void OnIsolationEnded();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
