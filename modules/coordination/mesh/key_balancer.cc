#include "modules/coordination/mesh/key_balancer.h"

#include <algorithm>
#include <map>

namespace citrongrade {

namespace {

// A slot with this part of what a target has too much is hot: it goes by
// itself. Of even load a slot has a thousandth.
constexpr double kHotShare = 0.2;
// And it takes this part of what a target can do: moved for less, popular keys
// wander for ever and cut the table into single slots.
constexpr double kHotUse = 0.05;
// A move may take this much more than wanted: one slot can't be divided.
constexpr double kOvershoot = 1.5;
// A taker may become as busy as this part of what the giver was.
constexpr double kRelief = 0.85;
// Less than this part of a target's work is not worth a move.
constexpr double kLeastShare = 0.04;

}  // namespace

KeyBalancer::KeyBalancer(const Parameters& parameters)
    : m_parameters(parameters), m_moved(kSlotCount, 0) {}

bool KeyBalancer::Rests(std::uint32_t slot) const {
  return m_moved[slot] != 0 &&
         m_round - m_moved[slot] < m_parameters.rest_rounds;
}

std::vector<KeyBalancer::Load> KeyBalancer::Measure(
    const KeyTable& table,
    const std::vector<float>& arrivals,
    const std::vector<Target>& targets) const {
  std::map<std::string, double> sums;
  for (const OwnedRun& run : table.runs()) {
    double& sum = sums[run.owner];
    for (std::uint32_t slot = run.range.first; slot <= run.range.last; ++slot)
      sum += arrivals[slot];
  }
  std::vector<Load> loads;
  loads.reserve(targets.size());
  for (const Target& target : targets)
    loads.push_back({target, sums[target.address]});
  return loads;
}

SlotRange KeyBalancer::Choose(const KeyTable& table,
                              const std::vector<float>& arrivals,
                              const std::string& from,
                              double amount,
                              double hot,
                              double most) const {
  const OwnedRun* widest = nullptr;
  std::uint32_t hottest = kSlotCount;
  for (const OwnedRun& run : table.runs()) {
    if (run.owner != from)
      continue;
    if (widest == nullptr || run.range.size() > widest->range.size())
      widest = &run;
    for (std::uint32_t slot = run.range.first; slot <= run.range.last; ++slot) {
      if (Rests(slot) || arrivals[slot] > most)
        continue;
      if (hottest == kSlotCount || arrivals[slot] > arrivals[hottest])
        hottest = slot;
    }
  }
  if (hottest != kSlotCount && arrivals[hottest] >= hot)
    return {hottest, hottest};
  if (widest == nullptr || amount <= 0)
    return {1, 0};
  // Even load: cut the wanted amount off the end of its widest run.
  SlotRange cut{widest->range.last, widest->range.last};
  double sum = 0;
  for (std::uint32_t slot = widest->range.last + 1;
       slot-- > widest->range.first;) {
    if (Rests(slot) || sum + arrivals[slot] > amount * kOvershoot)
      break;
    sum += arrivals[slot];
    cut.first = slot;
    if (sum >= amount)
      break;
  }
  return sum > 0 ? cut : SlotRange{1, 0};
}

std::vector<KeyBalancer::Move> KeyBalancer::Plan(
    const KeyTable& table,
    const std::vector<float>& arrivals,
    const std::vector<Target>& targets) {
  ++m_round;
  std::vector<Move> moves;
  KeyTable planned = table;
  std::vector<Load> loads = Measure(table, arrivals, targets);
  double all_arrivals = 0;
  double all_capacity = 0;
  for (const Load& load : loads) {
    all_arrivals += load.arrivals;
    all_capacity += load.target.may_receive ? load.target.capacity : 0;
  }
  if (loads.size() < 2 || all_capacity <= 0)
    return moves;
  const double mean = all_arrivals / all_capacity;
  const auto less = [](const Load& left, const Load& right) {
    return left.use() < right.use();
  };
  // Givers of whom nothing can be taken: one key may be more than a target can
  // do. They must not keep others from being relieved.
  std::vector<std::string> stuck;
  while (moves.size() < m_parameters.max_moves) {
    auto giver = loads.end();
    for (auto it = loads.begin(); it != loads.end(); ++it) {
      const bool is_stuck = std::find(stuck.begin(), stuck.end(),
                                      it->target.address) != stuck.end();
      if (!is_stuck && (giver == loads.end() || less(*giver, *it)))
        giver = it;
    }
    if (giver == loads.end())
      break;
    auto taker = loads.end();
    for (auto it = loads.begin(); it != loads.end(); ++it) {
      if (it->target.may_receive && (taker == loads.end() || less(*it, *taker)))
        taker = it;
    }
    if (taker == loads.end() || taker == giver ||
        giver->use() < m_parameters.idle_use)
      break;
    const bool is_taker_empty = taker->use() < m_parameters.empty_share * mean;
    const bool needs_relief = giver->use() > m_parameters.busy_use &&
                              giver->use() > mean * m_parameters.band;
    if (!needs_relief && !(is_taker_empty && giver->use() > mean))
      break;
    const double over = giver->arrivals - mean * giver->target.capacity;
    const double room = mean * taker->target.capacity - taker->arrivals;
    double amount = std::min(over, room);
    if (amount < kLeastShare * giver->arrivals)
      amount = 0;
    // What makes the taker busier than this relieves nobody.
    const double bearable =
        kRelief * giver->use() * taker->target.capacity - taker->arrivals;
    const double most = std::min(over * kOvershoot, bearable);
    const SlotRange range = Choose(
        planned, arrivals, giver->target.address, amount,
        std::max(kHotShare * over, kHotUse * giver->target.capacity), most);
    if (range.first > range.last) {
      stuck.push_back(giver->target.address);
      continue;
    }
    OwnedRun run = planned.Find(range.first);
    run.range = range;
    run.owner = taker->target.address;
    planned.Assign(run);
    for (std::uint32_t slot = range.first; slot <= range.last; ++slot) {
      m_moved[slot] = m_round;
      giver->arrivals -= arrivals[slot];
      taker->arrivals += arrivals[slot];
    }
    moves.push_back({range, giver->target.address, taker->target.address});
  }
  return moves;
}

}  // namespace citrongrade
