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
constexpr double kHotUse = 0.05;
// And so many requests came for it lately: fewer may be chance.
constexpr double kHotRequests = 3;
// A move may take this much more than wanted: one slot can't be divided.
constexpr double kOvershoot = 1.5;
// A taker may become as busy as this part of what the giver was.
constexpr double kRelief = 0.85;
// Less than this part of a target's work is not worth a move.
constexpr double kLeastShare = 0.04;
// Part of a lasting rate that one round makes: a mean of three seconds or so.
constexpr float kLastingShare = 0.08F;
// A target's load is another one now when it differs by so many deviations. One
// of hundreds does by chance once in a minute or so.
constexpr double kChanged = 4;
// Its rates are then those of the last second, for so many rounds.
constexpr std::uint32_t kAdoptedRounds = 12;
// Moves for balance are for differences of so many deviations; for fewer where
// the load has just changed, as a hot spell lasts for a few seconds.
constexpr double kUnbalanced = 2.5;
constexpr double kUnbalancedNow = 1.5;
// A slot that no target can serve moves to one that serves so much more of it.
constexpr double kFaster = 1.5;

constexpr double kRoundSeconds =
    std::chrono::duration<double>(KeyBalancer::kRound).count();

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
      m_moved(kSlotCount, 0),
      m_rates(kSlotCount, 0),
      m_adopted(kSlotCount, 0) {}

bool KeyBalancer::IsTooHot(std::uint32_t slot) const {
  return m_rates[slot] > m_greatest_capacity;
}

bool KeyBalancer::Rests(std::uint32_t slot) const {
  const std::uint32_t rest = IsTooHot(slot) ? m_parameters.too_hot_rest_rounds
                                            : m_parameters.rest_rounds;
  return m_moved[slot] != 0 && m_round - m_moved[slot] < rest;
}

void KeyBalancer::Learn(const std::vector<float>& arrivals) {
  const double all = std::accumulate(arrivals.begin(), arrivals.end(), 0.0);
  m_mean_rate = all / kSlotCount;
  // All slots are taken for alike until the rounds tell them apart.
  if (m_round++ == 0)
    m_rates.assign(kSlotCount, static_cast<float>(m_mean_rate));
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot)
    m_rates[slot] += kLastingShare * (arrivals[slot] - m_rates[slot]);
}

double KeyBalancer::NewestShare(bool has_changed) const {
  return has_changed ? kNewestShare : kLastingShare;
}

double KeyBalancer::Deviation(double arrivals, bool has_changed) const {
  const double newest = NewestShare(has_changed);
  // It grows from nothing, as all slots begin alike.
  const double grown = 1 - std::pow(1 - newest, 2.0 * m_round);
  const double rounds = (2 - newest) / newest / grown;
  return std::sqrt(arrivals / (rounds * kRoundSeconds));
}

void KeyBalancer::AdoptChanges(const std::vector<Load>& loads,
                               const std::vector<float>& arrivals) {
  for (const Load& load : loads) {
    const double lately = SumOf(arrivals, load.ranges);
    const double lasting = SumOf(m_rates, load.ranges);
    if (std::abs(lately - lasting) <= kChanged * Deviation(lasting, true))
      continue;
    for (const SlotRange& range : load.ranges) {
      for (std::uint32_t slot = range.first; slot <= range.last; ++slot) {
        m_rates[slot] = arrivals[slot];
        m_adopted[slot] = m_round;
      }
    }
  }
}

void KeyBalancer::MatchSum(const std::vector<float>& arrivals) {
  double lately = 0;
  double lasting = 0;
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot) {
    if (m_adopted[slot] == m_round)
      continue;
    lately += arrivals[slot];
    lasting += m_rates[slot];
  }
  if (lasting <= 0)
    return;
  const auto factor = static_cast<float>(lately / lasting);
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot)
    m_rates[slot] *= m_adopted[slot] == m_round ? 1 : factor;
}

void KeyBalancer::Measure(std::vector<Load>& loads) {
  m_greatest_capacity = 0;
  for (Load& load : loads) {
    double adopted = 0;
    for (const SlotRange& range : load.ranges) {
      for (std::uint32_t slot = range.first; slot <= range.last; ++slot) {
        const bool is_adopted =
            m_adopted[slot] != 0 && m_round - m_adopted[slot] < kAdoptedRounds;
        load.arrivals += m_rates[slot];
        adopted += is_adopted ? m_rates[slot] : 0;
      }
    }
    load.has_changed = adopted > load.arrivals / 2;
    m_greatest_capacity = std::max(m_greatest_capacity, load.target.capacity);
  }
}

double KeyBalancer::MeanUse(const std::vector<Load>& loads) const {
  double arrivals = 0;
  double capacity = 0;
  for (const Load& load : loads) {
    arrivals += load.arrivals;
    capacity += load.target.may_receive ? load.target.capacity : 0;
  }
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot) {
    if (IsTooHot(slot))
      arrivals -= m_rates[slot] - m_greatest_capacity;
  }
  return capacity > 0 ? arrivals / capacity : 0;
}

bool KeyBalancer::IsWorthMove(const Load& giver,
                              const Load& taker,
                              double mean) const {
  if (giver.use() < m_parameters.idle_use)
    return false;
  const auto is_beyond_chance = [&](const Load& load) {
    const double expected = mean * load.target.capacity;
    const double least = load.has_changed ? kUnbalancedNow : kUnbalanced;
    return std::abs(load.arrivals - expected) >
           least * Deviation(expected, load.has_changed);
  };
  const bool needs_relief = giver.use() > m_parameters.busy_use &&
                            giver.use() > mean * m_parameters.band &&
                            is_beyond_chance(giver);
  const bool is_taker_empty =
      taker.use() < m_parameters.empty_share * mean && is_beyond_chance(taker);
  return needs_relief || (is_taker_empty && giver.use() > mean);
}

double KeyBalancer::LeastHot(bool has_changed) const {
  const double beyond_chance =
      m_mean_rate + kChanged * Deviation(m_mean_rate, has_changed);
  const double requests = kHotRequests * NewestShare(has_changed);
  return std::max(requests / kRoundSeconds, beyond_chance);
}

KeyBalancer::Wanted KeyBalancer::WantedOf(const Load& giver,
                                          const Load& taker,
                                          double mean) const {
  const double over = giver.arrivals - mean * giver.target.capacity;
  const double room = mean * taker.target.capacity - taker.arrivals;
  Wanted wanted;
  wanted.amount = std::min(over, room);
  if (wanted.amount < kLeastShare * giver.arrivals &&
      wanted.amount < kLeastShare * giver.target.capacity)
    wanted.amount = 0;
  wanted.hot = std::max({kHotShare * over, kHotUse * giver.target.capacity,
                         LeastHot(giver.has_changed)});
  // What makes the taker busier than this relieves nobody.
  const double bearable =
      kRelief * giver.use() * taker.target.capacity - taker.arrivals;
  wanted.most = std::min(over * kOvershoot, bearable);
  const bool is_faster =
      taker.target.capacity > kFaster * giver.target.capacity;
  if (!is_faster)
    wanted.most = std::min(wanted.most, m_greatest_capacity);
  return wanted;
}

SlotRange KeyBalancer::CutEven(const SlotRange& run, double amount) const {
  constexpr SlotRange kNothing{1, 0};
  const auto fits = [&](std::uint32_t slot, double sum) {
    return !Rests(slot) && sum + m_rates[slot] <= amount * kOvershoot;
  };
  double sum = 0;
  std::uint32_t first = run.last + 1;
  while (first > run.first && sum < amount && fits(first - 1, sum))
    sum += m_rates[--first];
  if (sum > 0)
    return {first, run.last};
  std::uint32_t end = run.first;
  while (end <= run.last && sum < amount && fits(end, sum))
    sum += m_rates[end++];
  return sum > 0 ? SlotRange{run.first, end - 1} : kNothing;
}

SlotRange KeyBalancer::Choose(const Load& from, const Wanted& wanted) const {
  const SlotRange* widest = nullptr;
  std::uint32_t hottest = kSlotCount;
  for (const SlotRange& range : from.ranges) {
    if (widest == nullptr || range.size() > widest->size())
      widest = &range;
    for (std::uint32_t slot = range.first; slot <= range.last; ++slot) {
      if (Rests(slot) || m_rates[slot] > wanted.most)
        continue;
      if (hottest == kSlotCount || m_rates[slot] > m_rates[hottest])
        hottest = slot;
    }
  }
  if (hottest != kSlotCount && m_rates[hottest] >= wanted.hot)
    return {hottest, hottest};
  if (widest == nullptr || wanted.amount <= 0)
    return {1, 0};
  return CutEven(*widest, wanted.amount);
}

void KeyBalancer::Carry(const SlotRange& range, Load& from, Load& to) {
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
    m_moved[slot] = m_round;
    from.arrivals -= m_rates[slot];
    to.arrivals += m_rates[slot];
  }
}

std::vector<KeyBalancer::Move> KeyBalancer::Plan(
    const KeyTable& table,
    const std::vector<float>& arrivals,
    const std::vector<Target>& targets) {
  Learn(arrivals);
  std::vector<Load> loads = LoadsOf(table, targets);
  AdoptChanges(loads, arrivals);
  MatchSum(arrivals);
  Measure(loads);
  const double mean = MeanUse(loads);
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
    Load* giver = nullptr;
    Load* taker = nullptr;
    for (Load& load : loads) {
      if (!load.is_stuck && (giver == nullptr || load.use() > giver->use()))
        giver = &load;
      if (load.target.may_receive &&
          (taker == nullptr || load.use() < taker->use()))
        taker = &load;
    }
    if (giver == nullptr || taker == nullptr || taker == giver ||
        !IsWorthMove(*giver, *taker, mean))
      break;
    const SlotRange range = Choose(*giver, WantedOf(*giver, *taker, mean));
    if (range.first > range.last) {
      giver->is_stuck = true;
      continue;
    }
    Carry(range, *giver, *taker);
    moves.push_back({range, giver->target.address, taker->target.address});
  }
  return moves;
}

std::vector<KeyBalancer::Load> KeyBalancer::LoadsOf(
    const KeyTable& table,
    const std::vector<Target>& targets) {
  std::vector<Load> loads;
  loads.reserve(targets.size());
  std::unordered_map<std::string_view, std::size_t> places;
  for (const Target& target : targets) {
    places.emplace(target.address, loads.size());
    loads.emplace_back().target = target;
  }
  for (const OwnedRun& run : table.runs()) {
    const auto found = places.find(run.owner);
    if (found != places.end())
      loads[found->second].ranges.push_back(run.range);
  }
  return loads;
}

}  // namespace citrongrade
