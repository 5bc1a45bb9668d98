#include "modules/coordination/load/weighted_destinations.h"

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace citrongrade {

namespace {

// Bounds the cost of finding the start position. Within so many requests the
// sequence has each share to within a thousandth.
constexpr std::uint64_t kMaxStartPositions = 4096;

// Requests after which the sequence repeats itself.
std::uint64_t PeriodOf(const std::vector<RouteDestination>& destinations) {
  std::uint64_t total = 0;
  std::uint64_t divisor = 0;
  for (const RouteDestination& destination : destinations) {
    total += destination.weight;
    divisor = std::gcd<std::uint64_t>(divisor, destination.weight);
  }
  return divisor == 0 ? 1 : total / divisor;
}

}  // namespace

WeightedDestinations::WeightedDestinations(std::mt19937_64& random)
    : m_random(random) {}

std::string WeightedDestinations::Choose(
    const std::vector<RouteDestination>& destinations) {
  if (!IsFor(destinations))
    Reset(destinations);
  if (m_total_weight == 0)
    return {};
  return m_shares[Advance()].destination.service;
}

bool WeightedDestinations::IsFor(
    const std::vector<RouteDestination>& destinations) const {
  return std::ranges::equal(destinations, m_shares, {}, {},
                            &Share::destination);
}

void WeightedDestinations::Reset(
    const std::vector<RouteDestination>& destinations) {
  m_shares.clear();
  m_total_weight = 0;
  for (const RouteDestination& destination : destinations) {
    m_shares.push_back({destination, 0});
    m_total_weight += destination.weight;
  }
  if (m_total_weight == 0)
    return;
  const std::uint64_t positions =
      std::min(PeriodOf(destinations), kMaxStartPositions);
  const std::uint64_t start =
      std::uniform_int_distribution<std::uint64_t>(0, positions - 1)(m_random);
  for (std::uint64_t i = 0; i < start; ++i)
    Advance();
}

std::size_t WeightedDestinations::Advance() {
  std::size_t best = m_shares.size();
  for (std::size_t i = 0; i < m_shares.size(); ++i) {
    Share& share = m_shares[i];
    if (share.destination.weight == 0)
      continue;
    share.credit += share.destination.weight;
    if (best == m_shares.size() || share.credit > m_shares[best].credit)
      best = i;
  }
  m_shares[best].credit -= m_total_weight;
  return best;
}

}  // namespace citrongrade
