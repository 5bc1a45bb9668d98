#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/state/mesh/key_slot.h"
#include "modules/state/mesh/key_table.h"

namespace citrongrade {

// Which slots go from one target to another so that all are equally busy.
//
// Load patterns: 40 % of the requests on 60 to 200 neighbouring keys, or on
// one, which change within seconds; targets of different speed; a target that
// joins; a mesh so large that few requests come for each slot. A busy run of
// keys saturates its one owner while the others idle: its callers wait or are
// refused although there is room.
//
// A target's use is the arrivals at its slots divided by what it can do. The
// most used gives to the least used until all are within `band` of the mean.
// Single slots that are hot go one by one, so that neighbours of a hot slot can
// be spread, also to a target that has no room below the mean, as long as it
// stays below the giver: with 49 targets near the mean none has room for a slot
// that takes a fifth of a target. Even load is cut off at the edge of a run, so
// that targets keep few runs. A slot that has just moved stays for
// `rest_rounds`.
//
// A moved key is out of service until the work that runs on it has ended, so
// chance must move nothing: at a dozen requests a second for a target, one more
// or less looks like a tenth of its work. Differences count when they are
// beyond what chance makes of as many requests, and rates are means of some
// seconds, unless those of the last second show that a target's load is another
// one now. A slot that no target can serve goes to a fast one, once: moved on,
// it would be served still less; what lies beside it is taken off its owner.
//
// Pure: decides from what it is given. Kin: KeyAssigner carries it out.
class KeyBalancer {
 public:
  // How often arrivals are looked at for moves.
  static constexpr std::chrono::milliseconds kRoundInterval{250};
  // The part that the newest round makes of the rates that Plan() is given.
  // With it a hot spot shows in half a second, and noise of a few requests does
  // not.
  static constexpr double kShortTermSmoothing = 0.3;

  struct Parameters {
    // Above the mean use by more than this factor a target gives keys away.
    double imbalance_factor = 1.15;
    // Below this use a target needs no relief: its callers hardly wait.
    double busy_utilization = 0.55;
    // Unless somebody has less than this part of the mean: one that joined, or
    // is faster than the others. It gets work from any that has more than the
    // mean.
    double underused_share = 0.7;
    // Below this use not even then.
    double idle_utilization = 0.05;
    // In a round; in a large mesh for this part of the targets, as the keys
    // that move are out of service meanwhile.
    std::size_t max_moves = 16;
    double max_moved_share = 0.15;
    std::uint32_t cooldown_rounds = 8;
    // The same for a slot that no target can serve: longer than a hot spell.
    std::uint32_t too_hot_cooldown_rounds = 24;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  struct Target {
    std::string address;
    // Requests that it can do in a second.
    double capacity = 1;
    // It may be given keys.
    bool may_receive = true;

    friend auto operator<=>(const Target&, const Target&) = default;
  };

  struct Move {
    SlotRange range;
    std::string from;
    std::string to;

    friend auto operator<=>(const Move&, const Move&) = default;
  };

  explicit KeyBalancer(const Parameters& parameters);

  // `arrivals`: requests a second for each slot, lately. `table`: as it will be
  // once the moves under way are done.
  std::vector<Move> Plan(const KeyTable& table,
                         const std::vector<float>& arrivals,
                         const std::vector<Target>& targets);

 private:
  struct TargetLoad {
    Target target;
    // Its slots, as planned.
    std::vector<SlotRange> ranges;
    double arrivals = 0;
    // Its load has just changed: its rates are means of a second.
    bool has_load_shift = false;
    // No slots can be taken from it.
    bool is_exhausted = false;
    double utilization() const { return arrivals / target.capacity; }
  };
  // What a move is to take off its giver.
  struct MoveLimits {
    // Of even load.
    double even_load = 0;
    // Arrivals of a single slot, to go by itself.
    double hot_threshold = 0;
    double max_rate = 0;
  };

  static std::vector<TargetLoad> GroupByOwner(
      const KeyTable& table,
      const std::vector<Target>& targets);
  void UpdateLongTermRates(const std::vector<float>& arrivals);
  // Where a target's load is another one now, its slots' rates become those of
  // the last second.
  void ResetShiftedRates(const std::vector<TargetLoad>& loads,
                         const std::vector<float>& arrivals);
  // The sum of all others is known better than each of them.
  void NormalizeRates(const std::vector<float>& arrivals);
  void ComputeLoads(std::vector<TargetLoad>& loads);
  // Mean use of all, without what nobody can serve.
  double MeanUtilization(const std::vector<TargetLoad>& loads) const;
  // The part that the newest round makes of a target's rates.
  double SmoothingFactor(bool has_changed) const;
  // How far a rate differs by chance from its mean of `arrivals` a second.
  double StandardDeviation(double arrivals, bool has_changed) const;
  // A slot with fewer arrivals a second may have them by chance.
  double MinHotRate(bool has_changed) const;
  // Whether the giver should give to the taker, with this mean use of all.
  bool IsWorthMove(const TargetLoad& giver,
                   const TargetLoad& taker,
                   double mean) const;
  MoveLimits LimitsFor(const TargetLoad& giver,
                       const TargetLoad& taker,
                       double mean) const;
  // Empty (first after last) when there is nothing to take.
  SlotRange ChooseRange(const TargetLoad& from, const MoveLimits& wanted) const;
  // About `amount` off either end of the run.
  SlotRange CutFromEnd(const SlotRange& run, double amount) const;
  // The slot's load is more than any target can do.
  bool IsTooHot(std::uint32_t slot) const;
  bool IsInCooldown(std::uint32_t slot) const;
  void ApplyMove(const SlotRange& range, TargetLoad& from, TargetLoad& to);

  const Parameters m_parameters;
  std::uint32_t m_round = 0;
  // By slot: the round in which it moved last.
  std::vector<std::uint32_t> m_last_moved_round;
  // By slot: requests a second, as a mean of some seconds.
  std::vector<float> m_long_term_rates;
  // By slot: the round in which its rate was made that of the last second.
  std::vector<std::uint32_t> m_last_reset_round;
  // Of a slot.
  double m_mean_rate = 0;
  double m_max_capacity = 0;
};

}  // namespace citrongrade
