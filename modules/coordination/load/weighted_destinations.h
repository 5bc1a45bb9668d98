#pragma once

#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "modules/state/mesh/routing_config.h"

namespace citrongrade {

// Distributes the requests of one route over its destinations in proportion to
// their weights.
//
// Smooth weighted round robin: each destination earns its weight as credit for
// each request, and the one with the highest credit gets the request and pays
// the sum of all weights. A node's shares are exact after a few requests, where
// independent random choices would be off by a tenth for long.
//
// A node starts at a random position of the sequence, as the first requests of
// many nodes would otherwise all go to the same destination: after a change of
// the weights, 66 nodes that see a few requests each sent them all to the
// heaviest one. It starts anew when destinations or weights change, since
// credit that was earned with the former weights is worth more or less than the
// new ones.
//
// Thread-confined.
class WeightedDestinations {
 public:
  struct Share {
    RouteDestination destination;
    // In the unit of the weights. The destination with the highest credit is
    // next.
    double credit = 0;
  };

  explicit WeightedDestinations(std::mt19937_64& random);

  // Returns the service that gets the next request; empty if all weights are
  // zero. A destination of weight zero gets none.
  std::string Choose(const std::vector<RouteDestination>& destinations);

  const std::vector<Share>& shares() const { return m_shares; }

 private:
  bool IsFor(const std::vector<RouteDestination>& destinations) const;
  void Reset(const std::vector<RouteDestination>& destinations);
  // Returns the index of the destination that gets the next request. At least
  // one weight must be above zero.
  std::size_t Advance();

  std::mt19937_64& m_random;
  std::vector<Share> m_shares;
  double m_total_weight = 0;
};

}  // namespace citrongrade
