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

double ShareOf(const MemberLoad& member) {
  return member.capacity > 0 ? member.load / member.capacity : 0;
}

double MeanShare(const std::vector<MemberLoad>& members) {
  double load = 0;
  double capacity = 0;
  for (const MemberLoad& member : members) {
    load += member.load;
    capacity += member.capacity;
  }
  return capacity > 0 ? load / capacity : 0;
}

// Loads of this round, as they become while moves are chosen.
struct Round {
  std::vector<MemberLoad> members;
  std::vector<SlotLoad> slots;
  std::size_t self = 0;
  double mean_share = 0;

  MemberLoad& own() { return members[self]; }
  const MemberLoad& own() const { return members[self]; }
  double OwnRatio() const { return ShareOf(own()) / mean_share; }
  double MeanLoad() const { return mean_share * own().capacity; }
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
        m_budget(parameters.moves_per_minute),
        m_budget_filled(clock.Now()) {}

  MovePlan Plan(const MemberId& self,
                std::span<const SlotLoad> own_slots,
                std::span<const MemberLoad> members) {
    FillBudget();
    MovePlan plan;
    std::optional<Round> round = MakeRound(self, own_slots, members);
    if (!round || !UpdateShedding(*round)) {
      return plan;
    }
    IsolateKeys(*round, plan);
    MoveSlots(*round, plan);
    return plan;
  }

  void OnIsolationEnded() {
    if (m_isolated > 0) {
      --m_isolated;
    }
  }

 private:
  void FillBudget() {
    const Clock::TimePoint now = m_clock.Now();
    const double minutes = ToSeconds(now - m_budget_filled) / kSecondsPerMinute;
    m_budget = std::min(m_parameters.moves_per_minute,
                        m_budget + minutes * m_parameters.moves_per_minute);
    m_budget_filled = now;
  }

  static std::optional<Round> MakeRound(const MemberId& self,
                                        std::span<const SlotLoad> own_slots,
                                        std::span<const MemberLoad> members) {
    Round round;
    round.members.assign(members.begin(), members.end());
    round.slots.assign(own_slots.begin(), own_slots.end());
    round.mean_share = MeanShare(round.members);
    const auto own = std::find_if(
        round.members.begin(), round.members.end(),
        [&self](const MemberLoad& member) { return member.member == self; });
    if (own == round.members.end() || round.mean_share <= 0) {
      return std::nullopt;
    }
    round.self = static_cast<std::size_t>(own - round.members.begin());
    std::stable_sort(
        round.slots.begin(), round.slots.end(),
        [](const SlotLoad& a, const SlotLoad& b) { return a.load > b.load; });
    return round;
  }

  bool UpdateShedding(const Round& round) {
    const double ratio = round.OwnRatio();
    m_rounds_over = ratio > m_parameters.begin_above ? m_rounds_over + 1 : 0;
    if (m_rounds_over >= m_parameters.rounds_to_begin) {
      m_shedding = true;
    }
    if (ratio < m_parameters.stop_below) {
      m_shedding = false;
    }
    return m_shedding;
  }

  bool MayMoveMore(const Round& round) const {
    return m_budget >= 1 && round.OwnRatio() >= m_parameters.stop_below;
  }

  void IsolateKeys(Round& round, MovePlan& plan) {
    for (SlotLoad& slot : round.slots) {
      if (!MayMoveMore(round) || m_isolated >= m_parameters.max_isolated_keys) {
        return;
      }
      if (slot.hottest_key && IsHot(round, *slot.hottest_key)) {
        IsolateKey(round, slot, plan);
      }
    }
  }

  bool IsHot(const Round& round, const KeyLoad& key) const {
    return key.load > m_parameters.isolate_above * round.MeanLoad();
  }

  void IsolateKey(Round& round, SlotLoad& slot, MovePlan& plan) {
    const KeyLoad key = *slot.hottest_key;
    const std::optional<std::size_t> receiver = LeastLoaded(round);
    if (!receiver || !Pays(round, *receiver, key.load)) {
      return;
    }
    plan.isolations.push_back(
        {key.key, slot.slot, round.members[*receiver].member});
    ++m_isolated;
    slot.load -= key.load;
    slot.hottest_key.reset();
    Shift(round, *receiver, key.load);
  }

  void MoveSlots(Round& round, MovePlan& plan) {
    for (const SlotLoad& slot : round.slots) {
      if (!MayMoveMore(round)) {
        return;
      }
      const auto receiver = BetterOfTwoBelowMean(round);
      if (!receiver || !Pays(round, *receiver, slot.load)) {
        continue;
      }
      plan.moves.push_back({slot.slot, round.members[*receiver].member});
      Shift(round, *receiver, slot.load);
    }
  }

  void Shift(Round& round, std::size_t receiver, double load) {
    round.own().load -= load;
    round.members[receiver].load += load;
    m_budget -= 1;
  }

  // The gain is what the sum of squared loads falls by, half of it, in mean
  // loads: to take from a member far above the mean is worth more than from one
  // just above it, and to overload the receiver instead is worth nothing.
  bool Pays(const Round& round, std::size_t receiver, double load) const {
    const double moved = load / round.MeanLoad();
    const double receiver_ratio =
        ShareOf(round.members[receiver]) / round.mean_share;
    const double gain = moved * (round.OwnRatio() - receiver_ratio - moved);
    const double worth = gain * ToSeconds(m_parameters.payback) *
                         m_parameters.unavailability_weight;
    const double cost =
        ToSeconds(m_parameters.gap_per_move) * m_parameters.churn_weight;
    return worth > cost;
  }

  static std::optional<std::size_t> LeastLoaded(const Round& round) {
    std::optional<std::size_t> least;
    for (std::size_t index = 0; index < round.members.size(); ++index) {
      const MemberLoad& member = round.members[index];
      if (index == round.self || member.capacity <= 0) {
        continue;
      }
      if (!least || ShareOf(member) < ShareOf(round.members[*least])) {
        least = index;
      }
    }
    return least;
  }

  std::optional<std::size_t> BetterOfTwoBelowMean(const Round& round) {
    std::vector<std::size_t> below;
    for (std::size_t index = 0; index < round.members.size(); ++index) {
      const MemberLoad& member = round.members[index];
      if (member.capacity > 0 && ShareOf(member) < round.mean_share) {
        below.push_back(index);
      }
    }
    if (below.empty()) {
      return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, below.size() - 1);
    const std::size_t first = below[any(m_random)];
    const std::size_t second = below[any(m_random)];
    return ShareOf(round.members[second]) < ShareOf(round.members[first])
               ? second
               : first;
  }

  const Clock& m_clock;
  std::mt19937_64& m_random;
  const Parameters m_parameters;
  double m_budget;
  Clock::TimePoint m_budget_filled;
  bool m_shedding = false;
  std::size_t m_rounds_over = 0;
  std::size_t m_isolated = 0;
};

SlotMovePlanner::SlotMovePlanner(const Clock& clock,
                                 std::mt19937_64& random,
                                 const Parameters& parameters)
    : m_impl(std::make_unique<Impl>(clock, random, parameters)) {}

SlotMovePlanner::~SlotMovePlanner() = default;

MovePlan SlotMovePlanner::Plan(const MemberId& self,
                               std::span<const SlotLoad> own_slots,
                               std::span<const MemberLoad> members) {
  return m_impl->Plan(self, own_slots, members);
}

void SlotMovePlanner::OnIsolationEnded() {
  m_impl->OnIsolationEnded();
}

}  // namespace citrongrade
