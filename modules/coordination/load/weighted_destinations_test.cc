#include "modules/coordination/load/weighted_destinations.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <utility>

namespace citrongrade {

namespace {

constexpr std::size_t kNodes = 66;
constexpr double kWindowSeconds = 3;
constexpr std::size_t kWindowRequests = 200;
constexpr double kMaxShareError = 0.1;
constexpr double kMaxShareErrorOfWorstWindow = 0.2;
constexpr std::uint64_t kSeed = 5;

using Destinations = std::vector<RouteDestination>;

// Selects destinations at one node.
class Selection {
 public:
  virtual ~Selection() = default;
  virtual std::string Choose(const Destinations& destinations) = 0;
};

class RandomPhase final : public Selection {
 public:
  explicit RandomPhase(std::mt19937_64& random) : m_destinations(random) {}

  std::string Choose(const Destinations& destinations) override {
    return m_destinations.Choose(destinations);
  }

 private:
  WeightedDestinations m_destinations;
};

// Starts with the same destination at each node and keeps its credits when
// weights change.
class FixedPhase final : public Selection {
 public:
  std::string Choose(const Destinations& destinations) override {
    double total = 0;
    const RouteDestination* best = nullptr;
    for (const RouteDestination& destination : destinations) {
      if (destination.weight == 0)
        continue;
      total += destination.weight;
      m_credits[destination.service] += destination.weight;
      if (best == nullptr ||
          m_credits[destination.service] > m_credits[best->service])
        best = &destination;
    }
    if (best == nullptr)
      return {};
    m_credits[best->service] -= total;
    return best->service;
  }

 private:
  std::map<std::string, double> m_credits;
};

// Error of the shares of the destinations, absolute, the largest of them.
struct ShareErrors {
  double right_after = 0;
  double worst_window = 0;
};

// The latest requests, and the shares of the destinations in them.
class Window {
 public:
  explicit Window(const Destinations& destinations)
      : m_destinations(destinations) {}

  void Add(double position, const std::string& service) {
    m_requests.emplace_back(position, service);
    ++m_counts[service];
  }

  void RemoveBefore(double position) {
    while (!m_requests.empty() && m_requests.front().first < position) {
      --m_counts[m_requests.front().second];
      m_requests.pop_front();
    }
  }

  double Error() const {
    double total_weight = 0;
    for (const RouteDestination& destination : m_destinations)
      total_weight += destination.weight;
    double error = 0;
    for (const RouteDestination& destination : m_destinations) {
      const double share =
          CountOf(destination.service) / static_cast<double>(m_requests.size());
      error =
          std::max(error, std::abs(share - destination.weight / total_weight));
    }
    return error;
  }

 private:
  double CountOf(const std::string& service) const {
    const auto found = m_counts.find(service);
    return found == m_counts.end() ? 0 : static_cast<double>(found->second);
  }

  const Destinations& m_destinations;
  std::deque<std::pair<double, std::string>> m_requests;
  std::map<std::string, std::size_t> m_counts;
};

// 66 nodes that get requests at random times.
class Mesh {
 public:
  Mesh(bool has_random_phase, double requests_per_second)
      : m_has_random_phase(has_random_phase),
        m_rate(requests_per_second * kNodes) {
    Restart();
  }

  // All nodes restart.
  void Restart() {
    m_nodes.clear();
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (m_has_random_phase)
        m_nodes.push_back(std::make_unique<RandomPhase>(m_random));
      else
        m_nodes.push_back(std::make_unique<FixedPhase>());
    }
  }

  void Run(const Destinations& destinations, double seconds) {
    for (double now = 0; now < seconds; now += TimeToNext())
      ChooseAtSomeNode(destinations);
  }

  ShareErrors MeasureWindowsOfTime(const Destinations& destinations) {
    Window window(destinations);
    ShareErrors errors;
    bool is_full = false;
    for (double now = 0; now < 4 * kWindowSeconds; now += TimeToNext()) {
      window.RemoveBefore(now - kWindowSeconds);
      if (now >= kWindowSeconds) {
        errors.worst_window = std::max(errors.worst_window, window.Error());
        if (!is_full)
          errors.right_after = window.Error();
        is_full = true;
      }
      window.Add(now, ChooseAtSomeNode(destinations));
    }
    return errors;
  }

  ShareErrors MeasureWindowsOfRequests(const Destinations& destinations) {
    Window window(destinations);
    ShareErrors errors;
    for (std::size_t i = 0; i < 20 * kWindowRequests; ++i) {
      const auto number = static_cast<double>(i);
      window.RemoveBefore(number + 1 - kWindowRequests);
      window.Add(number, ChooseAtSomeNode(destinations));
      if (i + 1 < kWindowRequests)
        continue;
      errors.worst_window = std::max(errors.worst_window, window.Error());
      if (i + 1 == kWindowRequests)
        errors.right_after = window.Error();
    }
    return errors;
  }

 private:
  double TimeToNext() {
    return std::exponential_distribution<>(m_rate)(m_random);
  }

  std::string ChooseAtSomeNode(const Destinations& destinations) {
    std::uniform_int_distribution<std::size_t> node(0, kNodes - 1);
    return m_nodes[node(m_random)]->Choose(destinations);
  }

  const bool m_has_random_phase;
  const double m_rate;
  std::mt19937_64 m_random{kSeed};
  std::vector<std::unique_ptr<Selection>> m_nodes;
};

// Weights before and after a change.
struct WeightChange {
  const char* name;
  Destinations before;
  Destinations after;
};

const std::vector<WeightChange>& Changes() {
  static const std::vector<WeightChange> changes = {
      {"even", {{"a", 9}, {"b", 1}}, {{"a", 1}, {"b", 1}}},
      {"canary", {{"a", 1}, {"b", 0}}, {{"a", 9}, {"b", 1}}},
      {"smaller numbers", {{"a", 700}, {"b", 300}}, {{"a", 3}, {"b", 7}}},
      {"one disappears",
       {{"a", 50}, {"b", 30}, {"c", 20}},
       {{"a", 50}, {"b", 30}}},
      {"one is back",
       {{"a", 1}, {"b", 0}, {"c", 1}},
       {{"a", 5}, {"b", 3}, {"c", 2}}},
  };
  return changes;
}

// The larger ones of the errors after a change of weights and after a restart
// of all nodes, over all changes.
struct Measurement {
  ShareErrors after_change;
  ShareErrors after_restart;
};

ShareErrors Larger(const ShareErrors& a, const ShareErrors& b) {
  return {std::max(a.right_after, b.right_after),
          std::max(a.worst_window, b.worst_window)};
}

Measurement Measure(bool has_random_phase,
                    double requests_per_second,
                    bool by_time) {
  Measurement result;
  for (const WeightChange& change : Changes()) {
    Mesh mesh(has_random_phase, requests_per_second);
    const auto measure = [&] {
      return by_time ? mesh.MeasureWindowsOfTime(change.after)
                     : mesh.MeasureWindowsOfRequests(change.after);
    };
    mesh.Run(change.before, 2 * kWindowSeconds);
    result.after_change = Larger(result.after_change, measure());
    mesh.Restart();
    result.after_restart = Larger(result.after_restart, measure());
  }
  return result;
}

void CheckBounds(const ShareErrors& errors) {
  CHECK(errors.right_after <= kMaxShareError);
  CHECK(errors.worst_window <= kMaxShareErrorOfWorstWindow);
}

}  // namespace

// Guards against first requests that all go to the same destination, and
// against credit of former weights, which distorts the shares after a change.
TEST_CASE("shares of 66 nodes are kept after a change and after a restart") {
  for (const double requests_per_second : {3.0, 50.0}) {
    for (const bool by_time : {true, false}) {
      const Measurement now = Measure(true, requests_per_second, by_time);
      const Measurement former = Measure(false, requests_per_second, by_time);
      MESSAGE(requests_per_second, " requests a second, windows of ",
              std::string(by_time ? "3 s" : "200 requests"),
              ": after a change ", now.after_change.right_after,
              " (fixed phase ", former.after_change.right_after,
              "), worst window ", now.after_change.worst_window, " (",
              former.after_change.worst_window, "); after a restart ",
              now.after_restart.right_after, " (",
              former.after_restart.right_after, "), worst window ",
              now.after_restart.worst_window, " (",
              former.after_restart.worst_window, ")");
      CheckBounds(now.after_change);
      CheckBounds(now.after_restart);
    }
  }
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
