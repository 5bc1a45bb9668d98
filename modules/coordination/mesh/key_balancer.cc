#include "modules/coordination/mesh/key_balancer.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string_view>
#include <unordered_map>

namespace citrongrade {

namespace {

// A slot with this part of what a target has too much is hot: it goes by
// itself. Of even load a slot has a thousandth.
constexpr double kHotShare = 0.2;
// And it takes this part of what a target can do: moved for less, popular keys
// wander for ever and cut the table into single slots.
constexpr double kHotUtilization = 0.05;
// And so many requests came for it lately: fewer may be chance.
constexpr double kHotRequests = 3;
// A move may take this much more than wanted: one slot can't be divided.
constexpr double kOvershoot = 1.5;
// A taker may become as busy as this part of what the giver was.
constexpr double kMaxTakerUtilization = 0.85;
// Less than this part of a target's work is not worth a move.
constexpr double kMinMoveShare = 0.04;
// Part of a lasting rate that one round makes: a mean of three seconds or so.
constexpr float kLongTermSmoothing = 0.08F;
// A target's load is another one now when it differs by so many deviations. One
// of hundreds does by chance once in a minute or so.
constexpr double kShiftDeviations = 4;
// Its rates are then those of the last second, for so many rounds.
constexpr std::uint32_t kResetRounds = 12;
// Moves for balance are for differences of so many deviations; for fewer where
// the load has just changed, as a hot spell lasts for a few seconds.
constexpr double kImbalanceDeviations = 2.5;
constexpr double kShiftedImbalanceDeviations = 1.5;
// A slot that no target can serve moves to one that serves so much more of it.
constexpr double kMinSpeedup = 1.5;

constexpr double kRoundSeconds =
    std::chrono::duration<double>(KeyBalancer::kRoundInterval).count();

double SumOf(const std::vector<float>& rates,
             const std::vector<SlotRange>& ranges) {
  double sum = 0;
  for (const SlotRange& range : ranges) {
    const auto first = rates.begin() + range.first;
    sum += std::accumulate(first, first + range.size(), 0.0);
  }
  return sum;
}

}  // namespace

KeyBalancer::KeyBalancer(const Parameters& parameters)
    : m_parameters(parameters),
      m_last_moved_round(kSlotCount, 0),
      m_long_term_rates(kSlotCount, 0),
      m_last_reset_round(kSlotCount, 0) {}

bool KeyBalancer::IsTooHot(std::uint32_t slot) const {
  return m_long_term_rates[slot] > m_max_capacity;
}

bool KeyBalancer::IsInCooldown(std::uint32_t slot) const {
  const std::uint32_t rest = IsTooHot(slot)
                                 ? m_parameters.too_hot_cooldown_rounds
                                 : m_parameters.cooldown_rounds;
  return m_last_moved_round[slot] != 0 &&
         m_round - m_last_moved_round[slot] < rest;
}

void KeyBalancer::UpdateLongTermRates(const std::vector<float>& arrivals) {
  const double all = std::accumulate(arrivals.begin(), arrivals.end(), 0.0);
  m_mean_rate = all / kSlotCount;
  // All slots are taken for alike until the rounds tell them apart.
  if (m_round++ == 0)
    m_long_term_rates.assign(kSlotCount, static_cast<float>(m_mean_rate));
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot)
    m_long_term_rates[slot] +=
        kLongTermSmoothing * (arrivals[slot] - m_long_term_rates[slot]);
}

double KeyBalancer::SmoothingFactor(bool has_changed) const {
  return has_changed ? kShortTermSmoothing : kLongTermSmoothing;
}

double KeyBalancer::StandardDeviation(double arrivals, bool has_changed) const {
  const double newest = SmoothingFactor(has_changed);
  // It grows from nothing, as all slots begin alike.
  const double grown = 1 - std::pow(1 - newest, 2.0 * m_round);
  const double rounds = (2 - newest) / newest / grown;
  return std::sqrt(arrivals / (rounds * kRoundSeconds));
}

void KeyBalancer::ResetShiftedRates(const std::vector<TargetLoad>& loads,
                                    const std::vector<float>& arrivals) {
  for (const TargetLoad& load : loads) {
    const double lately = SumOf(arrivals, load.ranges);
    const double lasting = SumOf(m_long_term_rates, load.ranges);
    if (std::abs(lately - lasting) <=
        kShiftDeviations * StandardDeviation(lasting, true))
      continue;
    for (const SlotRange& range : load.ranges) {
      for (std::uint32_t slot = range.first; slot <= range.last; ++slot) {
        m_long_term_rates[slot] = arrivals[slot];
        m_last_reset_round[slot] = m_round;
      }
    }
  }
}

void KeyBalancer::NormalizeRates(const std::vector<float>& arrivals) {
  double lately = 0;
  double lasting = 0;
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot) {
    if (m_last_reset_round[slot] == m_round)
      continue;
    lately += arrivals[slot];
    lasting += m_long_term_rates[slot];
  }
  if (lasting <= 0)
    return;
  const auto factor = static_cast<float>(lately / lasting);
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot)
    m_long_term_rates[slot] *= m_last_reset_round[slot] == m_round ? 1 : factor;
}

void KeyBalancer::ComputeLoads(std::vector<TargetLoad>& loads) {
  m_max_capacity = 0;
  for (TargetLoad& load : loads) {
    double adopted = 0;
    for (const SlotRange& range : load.ranges) {
      for (std::uint32_t slot = range.first; slot <= range.last; ++slot) {
        const bool is_adopted =
            m_last_reset_round[slot] != 0 &&
            m_round - m_last_reset_round[slot] < kResetRounds;
        load.arrivals += m_long_term_rates[slot];
        adopted += is_adopted ? m_long_term_rates[slot] : 0;
      }
    }
    load.has_load_shift = adopted > load.arrivals / 2;
    m_max_capacity = std::max(m_max_capacity, load.target.capacity);
  }
}

double KeyBalancer::MeanUtilization(
    const std::vector<TargetLoad>& loads) const {
  double arrivals = 0;
  double capacity = 0;
  for (const TargetLoad& load : loads) {
    arrivals += load.arrivals;
    capacity += load.target.may_receive ? load.target.capacity : 0;
  }
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot) {
    if (IsTooHot(slot))
      arrivals -= m_long_term_rates[slot] - m_max_capacity;
  }
  return capacity > 0 ? arrivals / capacity : 0;
}

bool KeyBalancer::IsWorthMove(const TargetLoad& giver,
                              const TargetLoad& taker,
                              double mean) const {
  if (giver.utilization() < m_parameters.idle_utilization)
    return false;
  const auto is_beyond_chance = [&](const TargetLoad& load) {
    const double expected = mean * load.target.capacity;
    const double least = load.has_load_shift ? kShiftedImbalanceDeviations
                                             : kImbalanceDeviations;
    return std::abs(load.arrivals - expected) >
           least * StandardDeviation(expected, load.has_load_shift);
  };
  const bool needs_relief =
      giver.utilization() > m_parameters.busy_utilization &&
      giver.utilization() > mean * m_parameters.imbalance_factor &&
      is_beyond_chance(giver);
  const bool is_taker_empty =
      taker.utilization() < m_parameters.underused_share * mean &&
      is_beyond_chance(taker);
  return needs_relief || (is_taker_empty && giver.utilization() > mean);
}

double KeyBalancer::MinHotRate(bool has_changed) const {
  const double beyond_chance =
      m_mean_rate +
      kShiftDeviations * StandardDeviation(m_mean_rate, has_changed);
  const double requests = kHotRequests * SmoothingFactor(has_changed);
  return std::max(requests / kRoundSeconds, beyond_chance);
}

KeyBalancer::MoveLimits KeyBalancer::LimitsFor(const TargetLoad& giver,
                                               const TargetLoad& taker,
                                               double mean) const {
  const double over = giver.arrivals - mean * giver.target.capacity;
  const double room = mean * taker.target.capacity - taker.arrivals;
  MoveLimits wanted;
  wanted.even_load = std::min(over, room);
  if (wanted.even_load < kMinMoveShare * giver.arrivals &&
      wanted.even_load < kMinMoveShare * giver.target.capacity)
    wanted.even_load = 0;
  wanted.hot_threshold =
      std::max({kHotShare * over, kHotUtilization * giver.target.capacity,
                MinHotRate(giver.has_load_shift)});
  // What makes the taker busier than this relieves nobody.
  const double bearable =
      kMaxTakerUtilization * giver.utilization() * taker.target.capacity -
      taker.arrivals;
  wanted.max_rate = std::min(over * kOvershoot, bearable);
  const bool is_faster =
      taker.target.capacity > kMinSpeedup * giver.target.capacity;
  if (!is_faster)
    wanted.max_rate = std::min(wanted.max_rate, m_max_capacity);
  return wanted;
}

SlotRange KeyBalancer::CutFromEnd(const SlotRange& run, double amount) const {
  constexpr SlotRange kNothing{1, 0};
  const auto fits = [&](std::uint32_t slot, double sum) {
    return !IsInCooldown(slot) &&
           sum + m_long_term_rates[slot] <= amount * kOvershoot;
  };
  double sum = 0;
  std::uint32_t first = run.last + 1;
  while (first > run.first && sum < amount && fits(first - 1, sum))
    sum += m_long_term_rates[--first];
  if (sum > 0)
    return {first, run.last};
  std::uint32_t end = run.first;
  while (end <= run.last && sum < amount && fits(end, sum))
    sum += m_long_term_rates[end++];
  return sum > 0 ? SlotRange{run.first, end - 1} : kNothing;
}

SlotRange KeyBalancer::ChooseRange(const TargetLoad& from,
                                   const MoveLimits& wanted) const {
  const SlotRange* widest = nullptr;
  std::uint32_t hottest = kSlotCount;
  for (const SlotRange& range : from.ranges) {
    if (widest == nullptr || range.size() > widest->size())
      widest = &range;
    for (std::uint32_t slot = range.first; slot <= range.last; ++slot) {
      if (IsInCooldown(slot) || m_long_term_rates[slot] > wanted.max_rate)
        continue;
      if (hottest == kSlotCount ||
          m_long_term_rates[slot] > m_long_term_rates[hottest])
        hottest = slot;
    }
  }
  if (hottest != kSlotCount &&
      m_long_term_rates[hottest] >= wanted.hot_threshold)
    return {hottest, hottest};
  if (widest == nullptr || wanted.even_load <= 0)
    return {1, 0};
  return CutFromEnd(*widest, wanted.even_load);
}

void KeyBalancer::ApplyMove(const SlotRange& range,
                            TargetLoad& from,
                            TargetLoad& to) {
  const auto found = std::find_if(
      from.ranges.begin(), from.ranges.end(),
      [&range](const SlotRange& one) { return one.Contains(range); });
  const SlotRange before = *found;
  from.ranges.erase(found);
  if (before.first < range.first)
    from.ranges.push_back({before.first, range.first - 1});
  if (before.last > range.last)
    from.ranges.push_back({range.last + 1, before.last});
  to.ranges.push_back(range);
  for (std::uint32_t slot = range.first; slot <= range.last; ++slot) {
    m_last_moved_round[slot] = m_round;
    from.arrivals -= m_long_term_rates[slot];
    to.arrivals += m_long_term_rates[slot];
  }
}

std::vector<KeyBalancer::Move> KeyBalancer::Plan(
    const KeyTable& table,
    const std::vector<float>& arrivals,
    const std::vector<Target>& targets) {
  UpdateLongTermRates(arrivals);
  std::vector<TargetLoad> loads = GroupByOwner(table, targets);
  ResetShiftedRates(loads, arrivals);
  NormalizeRates(arrivals);
  ComputeLoads(loads);
  const double mean = MeanUtilization(loads);
  std::vector<Move> moves;
  if (loads.size() < 2 || mean <= 0)
    return moves;
  const auto most_moves =
      std::max(m_parameters.max_moves,
               static_cast<std::size_t>(m_parameters.max_moved_share *
                                        static_cast<double>(loads.size())));
  while (moves.size() < most_moves) {
    // Givers of whom nothing can be taken must not keep others from being
    // relieved.
    TargetLoad* giver = nullptr;
    TargetLoad* taker = nullptr;
    for (TargetLoad& load : loads) {
      if (!load.is_exhausted &&
          (giver == nullptr || load.utilization() > giver->utilization()))
        giver = &load;
      if (load.target.may_receive &&
          (taker == nullptr || load.utilization() < taker->utilization()))
        taker = &load;
    }
    if (giver == nullptr || taker == nullptr || taker == giver ||
        !IsWorthMove(*giver, *taker, mean))
      break;
    const SlotRange range =
        ChooseRange(*giver, LimitsFor(*giver, *taker, mean));
    if (range.first > range.last) {
      giver->is_exhausted = true;
      continue;
    }
    ApplyMove(range, *giver, *taker);
    moves.push_back({range, giver->target.address, taker->target.address});
  }
  return moves;
}

std::vector<KeyBalancer::TargetLoad> KeyBalancer::GroupByOwner(
    const KeyTable& table,
    const std::vector<Target>& targets) {
  std::vector<TargetLoad> loads;
  loads.reserve(targets.size());
  std::unordered_map<std::string_view, std::size_t> places;
  for (const Target& target : targets) {
    places.emplace(target.address, loads.size());
    loads.emplace_back().target = target;
  }
  for (const SlotAssignment& run : table.assignments()) {
    const auto found = places.find(run.owner);
    if (found != places.end())
      loads[found->second].ranges.push_back(run.range);
  }
  return loads;
}

}  // namespace citrongrade
