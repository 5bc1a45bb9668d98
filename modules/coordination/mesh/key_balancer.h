#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/state/mesh/key_slot.h"
#include "modules/state/mesh/key_table.h"

namespace citrongrade {

// Plans which slots move between targets so that all have the same utilization.
//
// It is built for these load patterns: 40 % of the requests on 60 to 200
// neighbouring keys, or on a single key, that change within seconds; targets of
// different speed; a target that joins; a mesh so large that each slot receives
// few requests. A hot range of keys saturates its owner while the others idle:
// its callers wait or are refused although there is capacity.
//
// A target's utilization is the request rate of its slots divided by its
// capacity. The most utilized target gives slots to the least utilized one
// until all are within `imbalance_factor` of the mean. Hot slots move one by
// one, so that the neighbours of a hot slot can be spread. They also move to a
// target that has no room below the mean, as long as it stays below the giver:
// with 49 targets near the mean, none has room for a slot that takes a fifth of
// a target. Even load is cut off at the end of a range, so that each target
// keeps few ranges. A slot that has just moved stays for `cooldown_rounds`.
//
// A moving key is out of service until its running requests have ended, so
// random fluctuation must not cause moves: at a dozen requests per second for a
// target, one more or less looks like a tenth of its load. A difference counts
// only if it exceeds what random arrivals of that number explain. Rates are
// averaged over some seconds, unless the rates of the last second show that a
// target's load has shifted. A slot that no target can serve moves to a fast
// target, once: while it moved on, it would be served still less. Its
// neighbours are moved away from its owner.
//
// Depends only on its inputs and its own earlier rounds. See also KeyAssigner,
// which carries out the moves.
class KeyBalancer {
 public:
  // Interval between planning rounds.
  static constexpr std::chrono::milliseconds kRoundInterval{250};
  // Smoothing factor of the rates passed to Plan(): the weight of the newest
  // round. With it a hot spot shows within half a second, and noise of a few
  // requests does not.
  static constexpr double kShortTermSmoothing = 0.3;

  struct Parameters {
    // A target whose utilization exceeds the mean by more than this factor
    // gives keys away.
    double imbalance_factor = 1.15;
    // Below this utilization a target needs no relief: its callers hardly wait.
    double busy_utilization = 0.55;
    // That limit does not apply if a target has less than this part of the mean
    // utilization, because it joined or is faster than the others. It gets work
    // from any target above the mean.
    double underused_share = 0.7;
    // Below this utilization a target gives no keys away at all.
    double idle_utilization = 0.05;
    // Most moves per round: `max_moves`, or in a large mesh this part of the
    // number of targets, as moving keys are out of service.
    std::size_t max_moves = 16;
    double max_moved_share = 0.15;
    std::uint32_t cooldown_rounds = 8;
    // The same for a slot that no target can serve; longer than a hot spell
    // lasts.
    std::uint32_t too_hot_cooldown_rounds = 24;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  struct Target {
    std::string address;
    // Requests per second that the target can serve.
    double capacity = 1;
    // The target may receive keys, and may give some away.
    bool may_receive = true;
    bool may_give = true;

    friend auto operator<=>(const Target&, const Target&) = default;
  };

  struct Move {
    SlotRange range;
    std::string from;
    std::string to;

    friend auto operator<=>(const Move&, const Move&) = default;
  };

  explicit KeyBalancer(const Parameters& parameters);

  // `arrivals`: recent requests per second of each slot. `table`: the
  // assignment as it will be once the moves in progress are done.
  std::vector<Move> Plan(const KeyTable& table,
                         const std::vector<float>& arrivals,
                         const std::vector<Target>& targets);

 private:
  struct TargetLoad {
    Target target;
    // Its slots according to the plan.
    std::vector<SlotRange> ranges;
    double arrivals = 0;
    // Its load has shifted recently: its rates are averages of about a second.
    bool has_load_shift = false;
    // No more slots can be taken from it.
    bool is_exhausted = false;
    double utilization() const { return arrivals / target.capacity; }
  };
  // How much load a move should take from its giver, in requests per second.
  struct MoveLimits {
    // Amount to take from evenly loaded slots.
    double even_load = 0;
    // Rate at which a single slot is hot and moves by itself.
    double hot_threshold = 0;
    double max_rate = 0;
  };

  static std::vector<TargetLoad> GroupByOwner(
      const KeyTable& table,
      const std::vector<Target>& targets);
  void UpdateLongTermRates(const std::vector<float>& arrivals);
  // If a target's load has shifted, replaces the rates of its slots by those of
  // the last second.
  void ResetShiftedRates(const std::vector<TargetLoad>& loads,
                         const std::vector<float>& arrivals);
  // Scales the other rates so that their sum matches the recent arrivals: the
  // sum is known more precisely than each rate.
  void NormalizeRates(const std::vector<float>& arrivals);
  void ComputeLoads(std::vector<TargetLoad>& loads);
  // Mean utilization of all targets, without load that no target can serve.
  double MeanUtilization(const std::vector<TargetLoad>& loads) const;
  // Weight of the newest round in a target's rates.
  double SmoothingFactor(bool has_load_shift) const;
  // Standard deviation of a measured rate whose mean is `arrivals` requests per
  // second.
  double StandardDeviation(double arrivals, bool has_load_shift) const;
  // Rate below which a slot's requests per second may be random fluctuation.
  double MinHotRate(bool has_load_shift) const;
  // `mean`: mean utilization of all targets.
  bool IsWorthMove(const TargetLoad& giver,
                   const TargetLoad& taker,
                   double mean) const;
  MoveLimits LimitsFor(const TargetLoad& giver,
                       const TargetLoad& taker,
                       double mean) const;
  // Returns an empty range (first after last) if there is nothing to take.
  SlotRange ChooseRange(const TargetLoad& from, const MoveLimits& limits) const;
  // Cuts slots with a load of about `amount` off one end of the range.
  SlotRange CutFromEnd(const SlotRange& range, double amount) const;
  // The slot's load exceeds the capacity of every target.
  bool IsTooHot(std::uint32_t slot) const;
  bool IsInCooldown(std::uint32_t slot) const;
  void ApplyMove(const SlotRange& range, TargetLoad& from, TargetLoad& to);

  const Parameters m_parameters;
  std::uint32_t m_round = 0;
  // By slot: the round in which it moved last.
  std::vector<std::uint32_t> m_last_moved_round;
  // By slot: requests per second, averaged over some seconds.
  std::vector<float> m_long_term_rates;
  // By slot: the round in which its rate was last replaced by that of the last
  // second.
  std::vector<std::uint32_t> m_last_reset_round;
  // Mean request rate of a slot.
  double m_mean_rate = 0;
  double m_max_capacity = 0;
};

}  // namespace citrongrade
