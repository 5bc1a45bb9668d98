#include "modules/coordination/load/weighted_destinations.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>

namespace citrongrade {

namespace {

constexpr std::size_t kNodes = 66;
constexpr int kWindowSeconds = 3;
constexpr int kWindowRequests = 200;
constexpr int kWindows = 20;
constexpr double kMaxShareError = 0.1;
constexpr double kMaxShareErrorOfWorstWindow = 0.2;
constexpr std::uint64_t kSeed = 5;

using Destinations = std::vector<RouteDestination>;

// Nodes that get requests at random.
class Mesh {
 public:
  // All nodes restart.
  void Restart() {
    m_nodes = std::vector(kNodes, WeightedDestinations(m_random));
  }

  void CheckShares(const Destinations& destinations, int window_requests) {
    const double first_error = MeasureError(destinations, window_requests);
    CHECK(first_error <= kMaxShareError);
    double worst_error = first_error;
    for (int i = 1; i < kWindows; ++i) {
      worst_error =
          std::max(worst_error, MeasureError(destinations, window_requests));
    }
    CHECK(worst_error <= kMaxShareErrorOfWorstWindow);
  }

 private:
  // Returns the largest absolute error of a share over the next requests.
  double MeasureError(const Destinations& destinations, int requests) {
    std::map<std::string, int> counts;
    std::uniform_int_distribution<std::size_t> node(0, kNodes - 1);
    for (int i = 0; i < requests; ++i)
      ++counts[m_nodes[node(m_random)].Choose(destinations)];
    double total_weight = 0;
    for (const RouteDestination& destination : destinations)
      total_weight += destination.weight;
    double error = 0;
    for (const RouteDestination& destination : destinations) {
      const double share =
          counts[destination.service] / static_cast<double>(requests);
      error =
          std::max(error, std::abs(share - destination.weight / total_weight));
    }
    return error;
  }

  std::mt19937_64 m_random{kSeed};
  std::vector<WeightedDestinations> m_nodes;
};

}  // namespace

// Guards against first requests that all go to the same destination, and
// against credit of former weights, which distorts the shares after a change.
TEST_CASE("shares of 66 nodes are kept after a change and after a restart") {
  const std::vector<Destinations> changes = {
      {{"a", 9}, {"b", 1}},
      {{"a", 1}, {"b", 1}},
      {{"a", 9}, {"b", 1}},
      {{"a", 700}, {"b", 300}},
      {{"a", 3}, {"b", 7}},
      {{"a", 50}, {"b", 30}, {"c", 20}},
      {{"a", 50}, {"b", 0}, {"c", 20}},
      {{"a", 5}, {"b", 3}, {"c", 2}},
      {{"b", 3}, {"c", 2}},
  };
  for (const int requests_per_second : {3, 50}) {
    const int window_of_time =
        requests_per_second * static_cast<int>(kNodes) * kWindowSeconds;
    for (const int window : {window_of_time, kWindowRequests}) {
      Mesh mesh;
      mesh.Restart();
      for (const Destinations& destinations : changes)
        mesh.CheckShares(destinations, window);
      for (const Destinations& destinations : changes) {
        mesh.Restart();
        mesh.CheckShares(destinations, window);
      }
    }
  }
}

// Guards against nodes that all start with the same destination.
TEST_CASE("the first requests of 66 nodes are distributed by weight") {
  std::mt19937_64 random(kSeed);
  int first = 0;
  for (std::size_t i = 0; i < kNodes; ++i) {
    WeightedDestinations destinations(random);
    first += destinations.Choose({{"a", 3}, {"b", 2}}) == "a" ? 1 : 0;
  }
  CHECK(std::abs(first / static_cast<double>(kNodes) - 0.6) <= kMaxShareError);
}

TEST_CASE("one node keeps the shares exactly over each period") {
  std::mt19937_64 random(kSeed);
  WeightedDestinations destinations(random);
  std::map<std::string, int> counts;
  for (int i = 0; i < 100; ++i)
    ++counts[destinations.Choose({{"a", 50}, {"b", 30}, {"c", 20}})];
  CHECK(counts == std::map<std::string, int>{{"a", 50}, {"b", 30}, {"c", 20}});
}

// Guards against requests to a destination that has been taken out.
TEST_CASE("a destination of weight zero gets no requests") {
  std::mt19937_64 random(kSeed);
  WeightedDestinations destinations(random);
  for (int i = 0; i < 20; ++i)
    destinations.Choose({{"a", 1}, {"b", 9}});
  for (int i = 0; i < 20; ++i)
    CHECK(destinations.Choose({{"a", 1}, {"b", 0}}) == "a");
  for (int i = 0; i < 20; ++i)
    CHECK(destinations.Choose({{"a", 1}}) == "a");
  CHECK(destinations.Choose({{"a", 0}}).empty());
  CHECK(destinations.Choose({}).empty());
}

}  // namespace citrongrade
