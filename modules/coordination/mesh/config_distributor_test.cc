#include "modules/coordination/mesh/config_distributor.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kOld = 9;
constexpr std::uint64_t kNew = 13;
constexpr std::uint32_t kWeak = 100;
constexpr std::uint32_t kFit = 1000;

// A mesh of hosts with narrow links; node 0 leads and has the new version.
class DistributionSimulation {
 public:
  DistributionSimulation(std::size_t nodes,
                         std::size_t zones,
                         std::uint32_t leader_merit)
      : m_zones(zones), m_leader_merit(leader_merit), m_versions(nodes, kOld) {
    m_versions[0] = kNew;
  }

  std::size_t size() const { return m_versions.size(); }
  std::string AddressOf(std::size_t node) const {
    return "10.0." + std::to_string(node / 200) + "." +
           std::to_string(node % 200 + 1) + ":7240";
  }
  std::size_t ZoneOf(std::size_t node) const { return node % m_zones; }
  bool HasNew(std::size_t node) const { return m_versions[node] == kNew; }
  void Lose(std::size_t node) { m_lost.insert(node); }
  void Restart(std::size_t node) { m_versions[node] = 0; }
  void SetVersion(std::size_t node, std::uint64_t version) {
    m_versions[node] = version;
  }
  void SetFetching(std::size_t node) { m_fetching.insert(node); }
  std::string Assign(std::size_t node) {
    return m_spread.AssignSource(AddressOf(node));
  }
  // Beats of all each 200 ms.
  void Pass(milliseconds duration) {
    constexpr milliseconds kBeat{200};
    for (milliseconds passed{0}; passed < duration; passed += kBeat) {
      m_clock.Advance(kBeat);
      BeatAll();
    }
  }

  void Beat(std::size_t node, bool has_failed = false) {
    if (m_lost.contains(node))
      return;
    Heartbeat heartbeat;
    heartbeat.address = AddressOf(node);
    heartbeat.zone = "zone-" + std::to_string(ZoneOf(node));
    heartbeat.config_version = m_versions[node];
    heartbeat.config_fetch_failed = has_failed;
    heartbeat.sequence = ++m_sequence;
    heartbeat.is_fetching_config = m_fetching.contains(node);
    heartbeat.leader_fitness_milli = node == 0 ? m_leader_merit : kWeak;
    m_spread.OnHeartbeat(heartbeat);
  }

  void BeatAll() {
    for (std::size_t node = 0; node < size(); ++node)
      Beat(node);
  }

  // Every node that is given a source fetches in the same time; returns how
  // many transfers there were of each source.
  std::map<std::string, std::size_t> PlayRound() {
    std::map<std::string, std::size_t> transfers;
    std::vector<std::size_t> fetched;
    std::vector<std::size_t> failed;
    for (std::size_t node = 0; node < size(); ++node) {
      if (HasNew(node) || m_lost.contains(node))
        continue;
      const std::string source = m_spread.AssignSource(AddressOf(node));
      if (source.empty())
        continue;
      ++transfers[source];
      (IsLost(source) ? failed : fetched).push_back(node);
    }
    m_clock.Advance(milliseconds(100));
    for (const std::size_t node : fetched)
      m_versions[node] = kNew;
    BeatAll();
    for (const std::size_t node : failed)
      Beat(node, true);
    return transfers;
  }

  std::size_t PlayUntilAllHaveIt(std::size_t most_rounds) {
    std::size_t rounds = 0;
    while (rounds < most_rounds && !AllHaveIt()) {
      PlayRound();
      ++rounds;
    }
    return rounds;
  }

  bool AllHaveIt() const {
    for (std::size_t node = 0; node < size(); ++node) {
      if (!HasNew(node) && !m_lost.contains(node))
        return false;
    }
    return true;
  }

  ConfigDistributor& spread() { return m_spread; }
  ManualClock& clock() { return m_clock; }

 private:
  bool IsLost(const std::string& address) const {
    for (const std::size_t node : m_lost) {
      if (AddressOf(node) == address)
        return true;
    }
    return false;
  }

  const std::size_t m_zones;
  const std::uint32_t m_leader_merit;
  std::vector<std::uint64_t> m_versions;
  std::set<std::size_t> m_lost;
  std::set<std::size_t> m_fetching;
  std::uint64_t m_sequence = 0;
  ManualClock m_clock;
  ConfigDistributor m_spread{m_clock};
};

}  // namespace

// Guards against a new configuration that takes as long as there are nodes.
TEST_CASE("all have the newest version after a few rounds of transfers") {
  for (const auto& [nodes, most_rounds] : std::map<std::size_t, std::size_t>{
           {3, 2}, {83, 6}, {195, 7}, {600, 8}}) {
    DistributionSimulation mesh(nodes, 3, kWeak);
    mesh.BeatAll();
    CHECK(mesh.PlayUntilAllHaveIt(most_rounds) <= most_rounds);
    CHECK(mesh.AllHaveIt());
  }
}

// Guards against a leader whose link is full of configuration for seconds.
TEST_CASE("no node sends to many at the same time") {
  constexpr std::size_t kMost = 8;
  DistributionSimulation mesh(600, 6, kFit);
  mesh.BeatAll();
  while (!mesh.AllHaveIt()) {
    for (const auto& [source, transfers] : mesh.PlayRound())
      CHECK(transfers <= (source == mesh.AddressOf(0) ? kMost : 2));
  }
}

// Guards against a mesh that waits for ever for a source that is gone.
TEST_CASE("lost sources are passed over") {
  DistributionSimulation mesh(83, 3, kWeak);
  mesh.BeatAll();
  mesh.PlayRound();
  mesh.PlayRound();
  for (std::size_t node = 1; node < mesh.size(); ++node) {
    if (mesh.HasNew(node))
      mesh.Lose(node);
  }
  CHECK(mesh.PlayUntilAllHaveIt(20) < 20);
}

// Guards against a node that is named no source any more, because the answer
// that named one was lost.
TEST_CASE("a source that a node has not heard of is named again") {
  DistributionSimulation mesh(2, 1, kWeak);
  mesh.BeatAll();
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
  CHECK(mesh.Assign(1).empty());
  mesh.Pass(milliseconds(400));
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
}

// Guards against a transfer that never ends: its node waits for ever.
TEST_CASE("a transfer that takes too long is given up") {
  DistributionSimulation mesh(2, 1, kWeak);
  mesh.BeatAll();
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
  mesh.SetFetching(1);
  mesh.Pass(milliseconds(800));
  CHECK(mesh.Assign(1).empty());
  mesh.Pass(milliseconds(800));
  mesh.Assign(1);
  mesh.Pass(milliseconds(600));
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
}

// Guards against the only source there is, named no more after one failure.
TEST_CASE("a source that failed once is tried again") {
  DistributionSimulation mesh(2, 1, kWeak);
  mesh.BeatAll();
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
  mesh.Beat(1, true);
  CHECK(mesh.Assign(1).empty());
  mesh.Pass(milliseconds(600));
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
}

// Guards against a source that is busy for ever with nodes that are gone.
TEST_CASE("a source is free again when those who fetched from it are lost") {
  DistributionSimulation mesh(4, 1, kWeak);
  mesh.BeatAll();
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
  CHECK(mesh.Assign(2) == mesh.AddressOf(0));
  CHECK(mesh.Assign(3).empty());
  mesh.Lose(1);
  mesh.Lose(2);
  mesh.Pass(milliseconds(1200));
  CHECK(mesh.Assign(3) == mesh.AddressOf(0));
}

// Guards against sources that are held busy by transfers of the version before.
TEST_CASE("a node that got the version before is named a source at once") {
  constexpr std::uint64_t kNewer = 15;
  DistributionSimulation mesh(2, 1, kWeak);
  mesh.BeatAll();
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
  mesh.SetVersion(0, kNewer);
  mesh.Beat(0);
  mesh.SetVersion(1, kNew);
  mesh.Beat(1);
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
}

// Guards against a late heartbeat by which a node seems to be behind again.
TEST_CASE("a heartbeat that was overtaken changes nothing") {
  const ManualClock clock;
  ConfigDistributor spread(clock);
  Heartbeat late;
  late.address = "10.0.0.1:7240";
  late.sequence = 1;
  late.config_version = kOld;
  Heartbeat last = late;
  last.sequence = 2;
  last.config_version = kNew;
  Heartbeat other = last;
  other.address = "10.0.0.2:7240";
  spread.OnHeartbeat(other);
  spread.OnHeartbeat(last);
  spread.OnHeartbeat(late);
  CHECK(spread.AssignSource(late.address).empty());
}

// Guards against a source that was restarted and has nothing to give.
TEST_CASE("a node that started anew is no source until it has the version") {
  DistributionSimulation mesh(2, 1, kWeak);
  mesh.Restart(0);
  mesh.BeatAll();
  CHECK(mesh.spread().newest() == kOld);
  CHECK(mesh.Assign(0) == mesh.AddressOf(1));
  mesh.Restart(1);
  mesh.BeatAll();
  mesh.clock().Advance(milliseconds(1500));
  CHECK(mesh.spread().AssignSource(mesh.AddressOf(0)).empty());
}

// Guards against bytes between availability zones, which cost callers' room.
TEST_CASE("a node fetches within its availability zone where it can") {
  DistributionSimulation mesh(9, 3, kFit);
  mesh.BeatAll();
  mesh.PlayUntilAllHaveIt(1);
  // One of each zone has it, at the least.
  mesh.Restart(4);
  mesh.Beat(4);
  const std::string source = mesh.spread().AssignSource(mesh.AddressOf(4));
  CHECK((source == mesh.AddressOf(1) || source == mesh.AddressOf(7)));
}

}  // namespace citrongrade
