#include "modules/coordination/mesh/key_balancer.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string_view>
#include <unordered_map>

namespace citrongrade {

namespace {

// A slot is hot and moves by itself if it has at least this part of its
// target's excess load. With even load a slot has a thousandth.
constexpr double kHotShare = 0.2;
// A hot slot also takes at least this part of its target's capacity: moved for
// less, popular keys would move forever and split the table into single slots.
constexpr double kHotUtilization = 0.05;
// A hot slot also received at least this many requests recently; fewer may be
// random.
constexpr double kHotRequests = 3;
// A move may exceed the wanted load by this factor, because a slot can't be
// divided.
constexpr double kOvershoot = 1.5;
// Upper bound of the taker's utilization after a move, relative to the giver's.
constexpr double kMaxTakerUtilization = 0.85;
// Smaller parts of a target's load are not worth a move.
constexpr double kMinMoveShare = 0.04;
// Weight of one round in a long-term rate, which makes it an average of about
// three seconds.
constexpr float kLongTermSmoothing = 0.08F;
// A target's load has shifted if it differs by this many standard deviations.
// Of hundreds of targets, one does so by chance about once a minute.
constexpr double kShiftDeviations = 4;
// For this many rounds its rates then count as those of the last second.
constexpr std::uint32_t kResetRounds = 12;
// An imbalance of this many standard deviations causes moves; a smaller one
// suffices after a load shift, as a hot spell lasts for a few seconds only.
constexpr double kImbalanceDeviations = 2.5;
constexpr double kShiftedImbalanceDeviations = 1.5;
// A slot that no target can serve moves only to a target that is faster by this
// factor.
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
  const std::uint32_t cooldown = IsTooHot(slot)
                                     ? m_parameters.too_hot_cooldown_rounds
                                     : m_parameters.cooldown_rounds;
  return m_last_moved_round[slot] != 0 &&
         m_round - m_last_moved_round[slot] < cooldown;
}

void KeyBalancer::UpdateLongTermRates(const std::vector<float>& arrivals) {
  const double total = std::accumulate(arrivals.begin(), arrivals.end(), 0.0);
  m_mean_rate = total / kSlotCount;
  // Assume equal rates until later rounds tell the slots apart.
  if (m_round++ == 0)
    m_long_term_rates.assign(kSlotCount, static_cast<float>(m_mean_rate));
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot)
    m_long_term_rates[slot] +=
        kLongTermSmoothing * (arrivals[slot] - m_long_term_rates[slot]);
}

double KeyBalancer::SmoothingFactor(bool has_load_shift) const {
  return has_load_shift ? kShortTermSmoothing : kLongTermSmoothing;
}

double KeyBalancer::StandardDeviation(double arrivals,
                                      bool has_load_shift) const {
  const double smoothing = SmoothingFactor(has_load_shift);
  // The deviation grows from zero, as all slots begin with the same rate.
  const double warm_up = 1 - std::pow(1 - smoothing, 2.0 * m_round);
  const double rounds = (2 - smoothing) / smoothing / warm_up;
  return std::sqrt(arrivals / (rounds * kRoundSeconds));
}

void KeyBalancer::ResetShiftedRates(const std::vector<TargetLoad>& loads,
                                    const std::vector<float>& arrivals) {
  for (const TargetLoad& load : loads) {
    const double recent = SumOf(arrivals, load.ranges);
    const double long_term = SumOf(m_long_term_rates, load.ranges);
    if (std::abs(recent - long_term) <=
        kShiftDeviations * StandardDeviation(long_term, true))
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
  double recent = 0;
  double long_term = 0;
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot) {
    if (m_last_reset_round[slot] == m_round)
      continue;
    recent += arrivals[slot];
    long_term += m_long_term_rates[slot];
  }
  if (long_term <= 0)
    return;
  const auto factor = static_cast<float>(recent / long_term);
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot)
    m_long_term_rates[slot] *= m_last_reset_round[slot] == m_round ? 1 : factor;
}

void KeyBalancer::ComputeLoads(std::vector<TargetLoad>& loads) {
  m_max_capacity = 0;
  for (TargetLoad& load : loads) {
    double reset_rate = 0;
    for (const SlotRange& range : load.ranges) {
      for (std::uint32_t slot = range.first; slot <= range.last; ++slot) {
        const bool was_reset =
            m_last_reset_round[slot] != 0 &&
            m_round - m_last_reset_round[slot] < kResetRounds;
        load.arrivals += m_long_term_rates[slot];
        reset_rate += was_reset ? m_long_term_rates[slot] : 0;
      }
    }
    load.has_load_shift = reset_rate > load.arrivals / 2;
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
  const bool is_taker_underused =
      taker.utilization() < m_parameters.underused_share * mean &&
      is_beyond_chance(taker);
  return needs_relief || (is_taker_underused && giver.utilization() > mean);
}

double KeyBalancer::MinHotRate(bool has_load_shift) const {
  const double beyond_chance =
      m_mean_rate +
      kShiftDeviations * StandardDeviation(m_mean_rate, has_load_shift);
  const double requests = kHotRequests * SmoothingFactor(has_load_shift);
  return std::max(requests / kRoundSeconds, beyond_chance);
}

KeyBalancer::MoveLimits KeyBalancer::LimitsFor(const TargetLoad& giver,
                                               const TargetLoad& taker,
                                               double mean) const {
  const double excess = giver.arrivals - mean * giver.target.capacity;
  const double headroom = mean * taker.target.capacity - taker.arrivals;
  MoveLimits limits;
  limits.even_load = std::min(excess, headroom);
  if (limits.even_load < kMinMoveShare * giver.arrivals &&
      limits.even_load < kMinMoveShare * giver.target.capacity)
    limits.even_load = 0;
  limits.hot_threshold =
      std::max({kHotShare * excess, kHotUtilization * giver.target.capacity,
                MinHotRate(giver.has_load_shift)});
  // A move that makes the taker busier than this relieves nobody.
  const double max_gain =
      kMaxTakerUtilization * giver.utilization() * taker.target.capacity -
      taker.arrivals;
  limits.max_rate = std::min(excess * kOvershoot, max_gain);
  const bool is_faster =
      taker.target.capacity > kMinSpeedup * giver.target.capacity;
  if (!is_faster)
    limits.max_rate = std::min(limits.max_rate, m_max_capacity);
  return limits;
}

SlotRange KeyBalancer::CutFromEnd(const SlotRange& range, double amount) const {
  constexpr SlotRange kNothing{1, 0};
  const auto fits = [&](std::uint32_t slot, double sum) {
    return !IsInCooldown(slot) &&
           sum + m_long_term_rates[slot] <= amount * kOvershoot;
  };
  double sum = 0;
  std::uint32_t first = range.last + 1;
  while (first > range.first && sum < amount && fits(first - 1, sum))
    sum += m_long_term_rates[--first];
  if (sum > 0)
    return {first, range.last};
  std::uint32_t end = range.first;
  while (end <= range.last && sum < amount && fits(end, sum))
    sum += m_long_term_rates[end++];
  return sum > 0 ? SlotRange{range.first, end - 1} : kNothing;
}

SlotRange KeyBalancer::ChooseRange(const TargetLoad& from,
                                   const MoveLimits& limits) const {
  const SlotRange* widest = nullptr;
  std::uint32_t hottest = kSlotCount;
  for (const SlotRange& range : from.ranges) {
    if (widest == nullptr || range.size() > widest->size())
      widest = &range;
    for (std::uint32_t slot = range.first; slot <= range.last; ++slot) {
      if (IsInCooldown(slot) || m_long_term_rates[slot] > limits.max_rate)
        continue;
      if (hottest == kSlotCount ||
          m_long_term_rates[slot] > m_long_term_rates[hottest])
        hottest = slot;
    }
  }
  if (hottest != kSlotCount &&
      m_long_term_rates[hottest] >= limits.hot_threshold)
    return {hottest, hottest};
  if (widest == nullptr || limits.even_load <= 0)
    return {1, 0};
  return CutFromEnd(*widest, limits.even_load);
}

void KeyBalancer::ApplyMove(const SlotRange& range,
                            TargetLoad& from,
                            TargetLoad& to) {
  const auto found = std::find_if(
      from.ranges.begin(), from.ranges.end(),
      [&range](const SlotRange& one) { return one.Contains(range); });
  const SlotRange giver_range = *found;
  from.ranges.erase(found);
  if (giver_range.first < range.first)
    from.ranges.push_back({giver_range.first, range.first - 1});
  if (giver_range.last > range.last)
    from.ranges.push_back({range.last + 1, giver_range.last});
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
  const auto move_limit =
      std::max(m_parameters.max_moves,
               static_cast<std::size_t>(m_parameters.max_moved_share *
                                        static_cast<double>(loads.size())));
  while (moves.size() < move_limit) {
    // A giver from which nothing can be taken must not keep the others from
    // being relieved.
    TargetLoad* giver = nullptr;
    TargetLoad* taker = nullptr;
    for (TargetLoad& load : loads) {
      if (load.target.may_give && !load.is_exhausted &&
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
  std::unordered_map<std::string_view, std::size_t> index_by_address;
  for (const Target& target : targets) {
    index_by_address.emplace(target.address, loads.size());
    loads.emplace_back().target = target;
  }
  for (const SlotAssignment& assignment : table.assignments()) {
    const auto found = index_by_address.find(assignment.owner);
    if (found != index_by_address.end())
      loads[found->second].ranges.push_back(assignment.range);
  }
  return loads;
}

}  // namespace citrongrade
