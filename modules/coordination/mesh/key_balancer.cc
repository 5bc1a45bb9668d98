#include "modules/coordination/mesh/key_balancer.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <string_view>

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

}  // namespace

KeyBalancer::KeyBalancer(const Parameters& parameters)
    : m_parameters(parameters),
      m_moved(kSlotCount, 0),
      m_rates(kSlotCount, 0),
      m_adopted(kSlotCount, 0) {}

bool KeyBalancer::IsHopeless(std::uint32_t slot) const {
  return m_rates[slot] > m_greatest_capacity;
}

bool KeyBalancer::Rests(std::uint32_t slot) const {
  const std::uint32_t rest = IsHopeless(slot)
                                 ? m_parameters.hopeless_rest_rounds
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

double KeyBalancer::Deviation(double arrivals, bool has_changed) const {
  const double newest = has_changed ? m_parameters.newest_share : kLastingShare;
  // It grows from nothing, as all slots begin alike.
  const double grown = 1 - std::pow(1 - newest, 2.0 * m_round);
  const double rounds = (2 - newest) / newest / grown;
  return std::sqrt(arrivals / (rounds * m_parameters.round_seconds));
}

void KeyBalancer::AdoptChanges(const KeyTable& table,
                               const std::vector<float>& arrivals) {
  std::map<std::string_view, Sums> sums;
  for (const OwnedRun& run : table.runs()) {
    Sums& sum = sums[run.owner];
    for (std::uint32_t slot = run.range.first; slot <= run.range.last; ++slot) {
      sum.lately += arrivals[slot];
      sum.lasting += m_rates[slot];
    }
  }
  for (const OwnedRun& run : table.runs()) {
    const Sums& sum = sums[run.owner];
    if (std::abs(sum.lately - sum.lasting) <=
        kChanged * Deviation(sum.lasting, true))
      continue;
    for (std::uint32_t slot = run.range.first; slot <= run.range.last; ++slot) {
      m_rates[slot] = arrivals[slot];
      m_adopted[slot] = m_round;
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

std::vector<KeyBalancer::Load> KeyBalancer::Measure(
    const KeyTable& table,
    const std::vector<Target>& targets) const {
  struct Sum {
    double arrivals = 0;
    double adopted = 0;
  };
  std::map<std::string_view, Sum> sums;
  for (const OwnedRun& run : table.runs()) {
    Sum& sum = sums[run.owner];
    for (std::uint32_t slot = run.range.first; slot <= run.range.last; ++slot) {
      const bool is_adopted =
          m_adopted[slot] != 0 && m_round - m_adopted[slot] < kAdoptedRounds;
      sum.arrivals += m_rates[slot];
      sum.adopted += is_adopted ? m_rates[slot] : 0;
    }
  }
  std::vector<Load> loads;
  loads.reserve(targets.size());
  for (const Target& target : targets) {
    const Sum& sum = sums[target.address];
    loads.push_back({target, sum.arrivals, sum.adopted > sum.arrivals / 2});
  }
  return loads;
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
  const double newest = has_changed ? m_parameters.newest_share : kLastingShare;
  const double beyond_chance =
      m_mean_rate + kChanged * Deviation(m_mean_rate, has_changed);
  return std::max(kHotRequests * newest / m_parameters.round_seconds,
                  beyond_chance);
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

SlotRange KeyBalancer::Choose(const KeyTable& table,
                              const std::string& from,
                              const Wanted& wanted) const {
  const OwnedRun* widest = nullptr;
  std::uint32_t hottest = kSlotCount;
  for (const OwnedRun& run : table.runs()) {
    if (run.owner != from)
      continue;
    if (widest == nullptr || run.range.size() > widest->range.size())
      widest = &run;
    for (std::uint32_t slot = run.range.first; slot <= run.range.last; ++slot) {
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
  return CutEven(widest->range, wanted.amount);
}

std::vector<KeyBalancer::Move> KeyBalancer::Plan(
    const KeyTable& table,
    const std::vector<float>& arrivals,
    const std::vector<Target>& targets) {
  Learn(arrivals);
  std::vector<Move> moves;
  KeyTable planned = table;
  AdoptChanges(table, arrivals);
  MatchSum(arrivals);
  std::vector<Load> loads = Measure(table, targets);
  double all_arrivals = 0;
  double all_capacity = 0;
  m_greatest_capacity = 0;
  for (const Load& load : loads) {
    all_arrivals += load.arrivals;
    m_greatest_capacity = std::max(m_greatest_capacity, load.target.capacity);
    all_capacity += load.target.may_receive ? load.target.capacity : 0;
  }
  if (loads.size() < 2 || all_capacity <= 0)
    return moves;
  // What nobody can serve is no reason to call the others idle.
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot) {
    if (IsHopeless(slot))
      all_arrivals -= m_rates[slot] - m_greatest_capacity;
  }
  const double mean = all_arrivals / all_capacity;
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
    const SlotRange range =
        Choose(planned, giver->target.address, WantedOf(*giver, *taker, mean));
    if (range.first > range.last) {
      giver->is_stuck = true;
      continue;
    }
    OwnedRun run = planned.Find(range.first);
    run.range = range;
    run.owner = taker->target.address;
    planned.Assign(run);
    for (std::uint32_t slot = range.first; slot <= range.last; ++slot) {
      m_moved[slot] = m_round;
      giver->arrivals -= m_rates[slot];
      taker->arrivals += m_rates[slot];
    }
    moves.push_back({range, giver->target.address, taker->target.address});
  }
  return moves;
}

}  // namespace citrongrade
