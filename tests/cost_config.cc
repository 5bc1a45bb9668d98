// What callers saw: for seconds after 1,400 routes had been added, nodes of a
// mesh of 83 answered 404 for them, and the mesh had no leader. Each node read
// the whole document from the store and decoded it, 0.2 s on a tenth of a core.

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "modules/coordination/manual_clock.h"
#include "modules/coordination/mesh/config_distributor.h"
#include "modules/protocol/config_change_codec.h"
#include "modules/state/mesh/config_change.h"
#include "modules/state/mesh/route_index.h"
#include "tests/support/processor_time.h"

namespace citrongrade {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kRoutesBefore = 2800;
constexpr int kRoutesAdded = 1400;
constexpr std::size_t kNodes = 600;
// The smallest hosts have a tenth of a core. A step may hold up a loop for as
// long as a caller's answer may be late without notice.
constexpr microseconds kLongestStep = milliseconds(150) / 10;
// One request of a host that serves a hundred a second, for 2 % of its core.
constexpr microseconds kLongestLookup{2};
// 2 % of a core, for 2,400 changes a day, would be 0.7 s each.
constexpr microseconds kLongestSpread = milliseconds(100);

RoutingConfig Config(std::uint64_t version, int routes) {
  RoutingConfig config;
  config.version = version;
  for (int i = 0; i < routes; ++i) {
    RouteRule route;
    route.name = "route-" + std::to_string(i);
    route.host = "host-" + std::to_string(i % 8) + ".example";
    route.path_prefix = "/prefix-" + std::to_string(i) + "/";
    route.destinations = {{"service-" + std::to_string(i % 3), 1}};
    config.routes.push_back(route);
  }
  return config;
}

}  // namespace

TEST_CASE("a long change is told and taken over within a small host's time") {
  const RoutingConfig before = Config(1, kRoutesBefore);
  const RoutingConfig after = Config(2, kRoutesBefore + kRoutesAdded);
  std::string bytes;
  CHECK(CostOf([&] {
          bytes =
              ConfigChangeCodec::Encode(ConfigChange::Between(before, after));
        }) < kLongestStep);
  RoutingConfig taken;
  CHECK(CostOf([&] {
          taken = ConfigChangeCodec::Decode(bytes).ApplyTo(before);
          const RouteIndex index(taken);
        }) < kLongestStep);
}

TEST_CASE("a route is found as fast among thousands") {
  const RoutingConfig config = Config(1, kRoutesBefore);
  const RouteIndex index(config);
  constexpr int kLookups = 10'000;
  int found = 0;
  const microseconds cost = CostOf([&] {
    for (int i = 0; i < kLookups; ++i)
      found += index.Find("host-7.example", "/prefix-2799/a/b") ? 1 : 0;
  });
  CHECK(found == kLookups);
  CHECK(cost < kLookups * kLongestLookup);
}

TEST_CASE("a leader of 600 nodes names all their sources in little time") {
  const ManualClock clock;
  ConfigDistributor spread(clock);
  std::vector<Heartbeat> nodes(kNodes);
  for (std::size_t node = 0; node < kNodes; ++node) {
    nodes[node].address = "10.0.0.1:" + std::to_string(7000 + node);
    nodes[node].zone = "zone-" + std::to_string(node % 6);
    nodes[node].config_version = node == 0 ? 2 : 1;
    spread.OnHeartbeat(nodes[node]);
  }
  std::size_t behind = kNodes - 1;
  const microseconds cost = CostOf([&] {
    while (behind > 0) {
      std::vector<Heartbeat*> fetched;
      for (Heartbeat& node : nodes) {
        if (!spread.AssignSource(node.address).empty())
          fetched.push_back(&node);
      }
      for (Heartbeat* node : fetched)
        node->config_version = 2;
      behind -= fetched.size();
      for (const Heartbeat& node : nodes)
        spread.OnHeartbeat(node);
    }
  });
  CHECK(cost < kLongestSpread);
}

}  // namespace citrongrade
