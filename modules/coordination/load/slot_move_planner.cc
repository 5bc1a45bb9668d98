#include "modules/coordination/load/slot_move_planner.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

namespace citrongrade {

namespace {

constexpr double kSecondsPerMinute = 60;

double ToSeconds(Clock::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double Utilization(const MemberLoad& member) {
  return member.capacity > 0 ? member.load / member.capacity : 0;
}

double MeanUtilization(const std::vector<MemberLoad>& members) {
  double load = 0;
  double capacity = 0;
  for (const MemberLoad& member : members) {
    load += member.load;
    capacity += member.capacity;
  }
  return capacity > 0 ? load / capacity : 0;
}

// Loads within one planning round, updated as moves are chosen.
struct PlanningRound {
  std::vector<MemberLoad> members;
  std::vector<SlotLoad> slots;
  std::size_t self = 0;
  double mean_utilization = 0;

  MemberLoad& own() { return members[self]; }
  const MemberLoad& own() const { return members[self]; }
  double LoadRatio() const { return Utilization(own()) / mean_utilization; }
  double MeanLoad() const { return mean_utilization * own().capacity; }
};

}  // namespace

class SlotMovePlanner::Impl {
 public:
  Impl(const Clock& clock,
       std::mt19937_64& random,
       const Parameters& parameters)
      : m_clock(clock),
        m_random(random),
        m_parameters(parameters),
        m_move_budget(parameters.moves_per_minute),
        m_budget_refilled_at(clock.Now()) {}

  RebalancingPlan Plan(const MemberId& self,
                       std::span<const SlotLoad> own_slots,
                       std::span<const MemberLoad> members) {
    RefillBudget();
    RebalancingPlan plan;
    std::optional<PlanningRound> round = MakeRound(self, own_slots, members);
    if (!round || !UpdateRebalancing(*round)) {
      return plan;
    }
    IsolateKeys(*round, plan);
    MoveSlots(*round, plan);
    return plan;
  }

  void OnIsolationEnded() {
    if (m_isolated_key_count > 0) {
      --m_isolated_key_count;
    }
  }

 private:
  void RefillBudget() {
    const Clock::TimePoint now = m_clock.Now();
    const double minutes =
        ToSeconds(now - m_budget_refilled_at) / kSecondsPerMinute;
    m_move_budget =
        std::min(m_parameters.moves_per_minute,
                 m_move_budget + minutes * m_parameters.moves_per_minute);
    m_budget_refilled_at = now;
  }

  static std::optional<PlanningRound> MakeRound(
      const MemberId& self,
      std::span<const SlotLoad> own_slots,
      std::span<const MemberLoad> members) {
    PlanningRound round;
    round.members.assign(members.begin(), members.end());
    round.slots.assign(own_slots.begin(), own_slots.end());
    round.mean_utilization = MeanUtilization(round.members);
    const auto own = std::find_if(
        round.members.begin(), round.members.end(),
        [&self](const MemberLoad& member) { return member.member == self; });
    if (own == round.members.end() || round.mean_utilization <= 0) {
      return std::nullopt;
    }
    round.self = static_cast<std::size_t>(own - round.members.begin());
    std::stable_sort(
        round.slots.begin(), round.slots.end(),
        [](const SlotLoad& a, const SlotLoad& b) { return a.load > b.load; });
    return round;
  }

  bool UpdateRebalancing(const PlanningRound& round) {
    const double ratio = round.LoadRatio();
    m_rounds_above_threshold =
        ratio > m_parameters.start_threshold ? m_rounds_above_threshold + 1 : 0;
    if (m_rounds_above_threshold >= m_parameters.rounds_to_start) {
      m_rebalancing = true;
    }
    if (ratio < m_parameters.stop_threshold) {
      m_rebalancing = false;
    }
    return m_rebalancing;
  }

  bool CanMoveMore(const PlanningRound& round) const {
    return m_move_budget >= 1 &&
           round.LoadRatio() >= m_parameters.stop_threshold;
  }

  void IsolateKeys(PlanningRound& round, RebalancingPlan& plan) {
    for (SlotLoad& slot : round.slots) {
      if (!CanMoveMore(round) ||
          m_isolated_key_count >= m_parameters.max_isolated_keys) {
        return;
      }
      if (slot.hottest_key && IsHot(round, *slot.hottest_key)) {
        IsolateKey(round, slot, plan);
      }
    }
  }

  bool IsHot(const PlanningRound& round, const KeyLoad& key) const {
    return key.load > m_parameters.isolation_threshold * round.MeanLoad();
  }

  void IsolateKey(PlanningRound& round, SlotLoad& slot, RebalancingPlan& plan) {
    const KeyLoad key = *slot.hottest_key;
    const std::optional<std::size_t> receiver = LeastLoaded(round);
    if (!receiver || !IsWorthwhile(round, *receiver, key.load)) {
      return;
    }
    plan.isolations.push_back(
        {key.key, slot.slot, round.members[*receiver].member});
    ++m_isolated_key_count;
    slot.load -= key.load;
    slot.hottest_key.reset();
    ApplyMove(round, *receiver, key.load);
  }

  void MoveSlots(PlanningRound& round, RebalancingPlan& plan) {
    for (const SlotLoad& slot : round.slots) {
      if (!CanMoveMore(round)) {
        return;
      }
      const auto receiver = BetterOfTwoBelowMean(round);
      if (!receiver || !IsWorthwhile(round, *receiver, slot.load)) {
        continue;
      }
      plan.moves.push_back({slot.slot, round.members[*receiver].member});
      ApplyMove(round, *receiver, slot.load);
    }
  }

  void ApplyMove(PlanningRound& round, std::size_t receiver, double load) {
    round.own().load -= load;
    round.members[receiver].load += load;
    m_move_budget -= 1;
  }

  // The gain is half the decrease of the sum of squared loads, in units of the
  // mean load. Load taken from a member far above the mean thus counts for more
  // than load taken from one just above it, and a move that only overloads the
  // receiver instead counts for nothing.
  bool IsWorthwhile(const PlanningRound& round,
                    std::size_t receiver,
                    double load) const {
    const double moved = load / round.MeanLoad();
    const double receiver_ratio =
        Utilization(round.members[receiver]) / round.mean_utilization;
    const double gain = moved * (round.LoadRatio() - receiver_ratio - moved);
    const double benefit = gain * ToSeconds(m_parameters.payback_period) *
                           m_parameters.unavailability_weight;
    const double cost =
        ToSeconds(m_parameters.downtime_per_move) * m_parameters.churn_weight;
    return benefit > cost;
  }

  static std::optional<std::size_t> LeastLoaded(const PlanningRound& round) {
    std::optional<std::size_t> least;
    for (std::size_t index = 0; index < round.members.size(); ++index) {
      const MemberLoad& member = round.members[index];
      if (index == round.self || member.capacity <= 0) {
        continue;
      }
      if (!least || Utilization(member) < Utilization(round.members[*least])) {
        least = index;
      }
    }
    return least;
  }

  std::optional<std::size_t> BetterOfTwoBelowMean(const PlanningRound& round) {
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < round.members.size(); ++index) {
      const MemberLoad& member = round.members[index];
      if (member.capacity > 0 && Utilization(member) < round.mean_utilization) {
        candidates.push_back(index);
      }
    }
    if (candidates.empty()) {
      return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    const std::size_t first = candidates[any(m_random)];
    const std::size_t second = candidates[any(m_random)];
    return Utilization(round.members[second]) <
                   Utilization(round.members[first])
               ? second
               : first;
  }

  const Clock& m_clock;
  std::mt19937_64& m_random;
  const Parameters m_parameters;
  double m_move_budget;
  Clock::TimePoint m_budget_refilled_at;
  bool m_rebalancing = false;
  std::size_t m_rounds_above_threshold = 0;
  std::size_t m_isolated_key_count = 0;
};

SlotMovePlanner::SlotMovePlanner(const Clock& clock,
                                 std::mt19937_64& random,
                                 const Parameters& parameters)
    : m_impl(std::make_unique<Impl>(clock, random, parameters)) {}

SlotMovePlanner::~SlotMovePlanner() = default;

RebalancingPlan SlotMovePlanner::Plan(const MemberId& self,
                                      std::span<const SlotLoad> own_slots,
                                      std::span<const MemberLoad> members) {
  return m_impl->Plan(self, own_slots, members);
}

void SlotMovePlanner::OnIsolationEnded() {
  m_impl->OnIsolationEnded();
}

}  // namespace citrongrade
