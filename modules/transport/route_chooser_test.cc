#include "modules/transport/route_chooser.h"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "modules/coordination/load/target_ejection.h"
#include "modules/coordination/manual_clock.h"
#include "modules/coordination/routing_table.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kQuick{5};
constexpr milliseconds kRefreshed{150};

Route MakeRoute(const std::string& address, std::uint32_t slots = 8) {
  Route route;
  route.data_address = address;
  route.target_slots = slots;
  return route;
}

// A service of which any member may run any request.
class FakeRoutingTable final : public RoutingTable {
 public:
  explicit FakeRoutingTable(std::vector<Route> members)
      : m_members(std::move(members)) {}

  void Add(Route route) { m_members.push_back(std::move(route)); }

  bool IsReady() const override { return true; }
  std::shared_ptr<const ServiceSettings> FindService(
      const ServiceId& /*service*/) const override {
    return nullptr;
  }
  std::optional<Route> FindOwner(const ServiceId& /*service*/,
                                 std::string_view /*key*/) const override {
    return std::nullopt;
  }
  std::vector<Route> FindMembers(const ServiceId& /*service*/) const override {
    return m_members;
  }

 private:
  std::vector<Route> m_members;
};

// A chooser with members, and requests that it is asked to place.
struct Bench {
  explicit Bench(std::vector<Route> members) : table(std::move(members)) {}

  Route Choose(WorkClass work_class = WorkClass::kShort) {
    const auto route = chooser.Choose(settings, "", work_class, "");
    REQUIRE(route.has_value());
    return *route;
  }

  void Finish(const Route& route,
              TargetCallOutcome outcome,
              milliseconds latency) {
    chooser.OnFinished(settings.id, route, WorkClass::kShort, outcome, latency);
  }

  ManualClock clock;
  FakeRoutingTable table;
  ServiceSettings settings;
  RouteChooser chooser{clock, table, AvailabilityZone("derby")};
};

}  // namespace

TEST_CASE("an ejected member is probed by one request at a time") {
  // "a" fails every request and is ejected. When its pause is over, a burst
  // must not find it open to all: callers would lose a request each, and the
  // target would be flooded as it recovers.
  Bench bench({MakeRoute("a"), MakeRoute("b"), MakeRoute("c")});
  for (int i = 0; i < 200; ++i) {
    const Route route = bench.Choose();
    const bool fails = route.data_address == "a";
    bench.Finish(route,
                 fails ? TargetCallOutcome::kUnknown : TargetCallOutcome::kDone,
                 kQuick);
    bench.clock.Advance(kQuick);
  }
  bench.clock.Advance(std::chrono::seconds(10));
  std::map<std::string, int> placed;
  for (int i = 0; i < 60; ++i) {
    ++placed[bench.Choose().data_address];
    bench.clock.Advance(milliseconds(10));
  }
  CHECK(placed["a"] == 1);
}

TEST_CASE("a member that joins cold is not ejected for being slow") {
  // A fresh target answers ten times slower than the others until it has warmed
  // up. Ejected for that, it would get nothing to warm up by.
  Bench bench({MakeRoute("a"), MakeRoute("b"), MakeRoute("c")});
  const auto play = [&bench](int requests) {
    int placed_cold = 0;
    for (int i = 0; i < requests; ++i) {
      const Route route = bench.Choose();
      const bool cold = route.data_address == "cold";
      placed_cold += cold ? 1 : 0;
      bench.Finish(route, TargetCallOutcome::kDone,
                   cold ? 10 * kQuick : kQuick);
      bench.clock.Advance(milliseconds(5));
    }
    return placed_cold;
  };
  play(400);
  bench.table.Add(MakeRoute("cold"));
  bench.clock.Advance(kRefreshed);
  play(1000);
  // An even share would be 100; probes alone are a few.
  CHECK(play(400) > 50);
}

TEST_CASE("long work outstanding at a member does not drive short work away") {
  Bench bench({MakeRoute("a"), MakeRoute("b")});
  std::map<std::string, int> uploads;
  for (int i = 0; i < 3; ++i)
    ++uploads[bench.Choose(WorkClass::kLong).data_address];
  std::map<std::string, int> lookups;
  for (int i = 0; i < 40; ++i)
    ++lookups[bench.Choose().data_address];
  CHECK(uploads.size() == 2);
  CHECK(lookups["a"] == lookups["b"]);
}

TEST_CASE("a member with more slots gets more of the work that waits") {
  Bench bench({MakeRoute("small", 4), MakeRoute("large", 12)});
  std::map<std::string, int> placed;
  for (int i = 0; i < 160; ++i)
    ++placed[bench.Choose().data_address];
  CHECK(placed["large"] == 3 * placed["small"]);
}

}  // namespace citrongrade
