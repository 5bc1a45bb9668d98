#include "modules/coordination/mesh/key_placement.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <string_view>
#include <utility>

namespace citrongrade {

namespace {

// A range is assigned in pieces of at most this part of one receiver's even
// share of all weight.
constexpr double kMaxPieceShare = 0.34;

const std::string& PlannedOwner(const SlotAssignment& assignment) {
  return assignment.is_moving() ? assignment.next.address : assignment.owner;
}

std::vector<double> PrefixSums(const std::vector<float>& weights) {
  std::vector<double> sums;
  sums.reserve(weights.size() + 1);
  double sum = 0;
  for (const float weight : weights) {
    sums.push_back(sum);
    sum += weight;
  }
  sums.push_back(sum);
  return sums;
}

}  // namespace

KeyPlacement::KeyPlacement(std::vector<Receiver> receivers,
                           const KeyTable& table,
                           const std::vector<float>& weights)
    : m_receivers(std::move(receivers)),
      m_prefix_weights(PrefixSums(weights)),
      m_loads(m_receivers.size(), 0) {
  // The caller must pass at least one receiver, and one weight per slot.
  assert(!m_receivers.empty() && weights.size() == kSlotCount);
  std::map<std::string_view, std::size_t> index_by_address;
  for (std::size_t i = 0; i < m_receivers.size(); ++i)
    index_by_address.emplace(m_receivers[i].address, i);
  for (const SlotAssignment& assignment : table.assignments()) {
    const auto found = index_by_address.find(PlannedOwner(assignment));
    if (found != index_by_address.end())
      m_loads[found->second] += WeightOf(assignment.range);
  }
  m_max_piece_weight = m_prefix_weights.back() /
                       static_cast<double>(m_receivers.size()) * kMaxPieceShare;
}

double KeyPlacement::WeightOf(const SlotRange& range) const {
  return m_prefix_weights[range.last + 1] - m_prefix_weights[range.first];
}

SlotRange KeyPlacement::FirstPiece(const SlotRange& range) const {
  const double max_prefix = m_prefix_weights[range.first] + m_max_piece_weight;
  const auto begin = m_prefix_weights.begin();
  // The search starts at two slots: a single slot is a piece whatever its
  // weight.
  const auto too_heavy = std::upper_bound(begin + range.first + 2,
                                          begin + range.last + 2, max_prefix);
  const auto slots_before = static_cast<std::uint32_t>(too_heavy - begin) - 1;
  return {range.first, slots_before - 1};
}

std::size_t KeyPlacement::AssignRange(const SlotRange& range) {
  const double weight = WeightOf(range);
  std::size_t best = 0;
  double lowest = 0;
  for (std::size_t i = 0; i < m_receivers.size(); ++i) {
    const double utilization = (m_loads[i] + weight) / m_receivers[i].capacity;
    if (i == 0 || utilization < lowest) {
      best = i;
      lowest = utilization;
    }
  }
  m_loads[best] += weight;
  return best;
}

}  // namespace citrongrade
