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

// A mesh of hosts with narrow links. Node 0 leads and has the new version.
class DistributionSimulation {
 public:
  DistributionSimulation(std::size_t nodes,
                         std::size_t zones,
                         std::uint32_t leader_fitness)
      : m_zones(zones),
        m_leader_fitness(leader_fitness),
        m_versions(nodes, kOld) {
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
    return m_distributor.AssignSource(AddressOf(node));
  }
  // All nodes send a heartbeat every 200 ms.
  void AdvanceWithHeartbeats(milliseconds duration) {
    constexpr milliseconds kInterval{200};
    for (milliseconds passed{0}; passed < duration; passed += kInterval) {
      m_clock.Advance(kInterval);
      SendAllHeartbeats();
    }
  }

  void SendHeartbeat(std::size_t node, bool has_failed = false) {
    if (m_lost.contains(node))
      return;
    Heartbeat heartbeat;
    heartbeat.address = AddressOf(node);
    heartbeat.zone = "zone-" + std::to_string(ZoneOf(node));
    heartbeat.config_version = m_versions[node];
    heartbeat.config_fetch_failed = has_failed;
    heartbeat.sequence = ++m_sequence;
    heartbeat.is_fetching_config = m_fetching.contains(node);
    heartbeat.leader_fitness_milli = node == 0 ? m_leader_fitness : kWeak;
    m_distributor.OnHeartbeat(heartbeat);
  }

  void SendAllHeartbeats() {
    for (std::size_t node = 0; node < size(); ++node)
      SendHeartbeat(node);
  }

  // Lets every node that is assigned a source fetch from it, all in the same
  // time. Returns the number of transfers by source.
  std::map<std::string, std::size_t> RunTransferRound() {
    std::map<std::string, std::size_t> transfers;
    std::vector<std::size_t> fetched;
    std::vector<std::size_t> failed;
    for (std::size_t node = 0; node < size(); ++node) {
      if (HasNew(node) || m_lost.contains(node))
        continue;
      const std::string source = m_distributor.AssignSource(AddressOf(node));
      if (source.empty())
        continue;
      ++transfers[source];
      (IsLost(source) ? failed : fetched).push_back(node);
    }
    m_clock.Advance(milliseconds(100));
    for (const std::size_t node : fetched)
      m_versions[node] = kNew;
    SendAllHeartbeats();
    for (const std::size_t node : failed)
      SendHeartbeat(node, true);
    return transfers;
  }

  std::size_t RunUntilAllHaveNew(std::size_t max_rounds) {
    std::size_t rounds = 0;
    while (rounds < max_rounds && !AllHaveNew()) {
      RunTransferRound();
      ++rounds;
    }
    return rounds;
  }

  bool AllHaveNew() const {
    for (std::size_t node = 0; node < size(); ++node) {
      if (!HasNew(node) && !m_lost.contains(node))
        return false;
    }
    return true;
  }

  ConfigDistributor& distributor() { return m_distributor; }
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
  const std::uint32_t m_leader_fitness;
  std::vector<std::uint64_t> m_versions;
  std::set<std::size_t> m_lost;
  std::set<std::size_t> m_fetching;
  std::uint64_t m_sequence = 0;
  ManualClock m_clock;
  ConfigDistributor m_distributor{m_clock};
};

}  // namespace

// Guards against a distribution time that grows linearly with the number of
// nodes.
TEST_CASE("all have the newest version after a few rounds of transfers") {
  for (const auto& [nodes, max_rounds] : std::map<std::size_t, std::size_t>{
           {3, 2}, {83, 6}, {195, 7}, {600, 8}}) {
    DistributionSimulation mesh(nodes, 3, kWeak);
    mesh.SendAllHeartbeats();
    CHECK(mesh.RunUntilAllHaveNew(max_rounds) <= max_rounds);
    CHECK(mesh.AllHaveNew());
  }
}

// Guards against a leader whose link is saturated with configuration transfers
// for seconds.
TEST_CASE("no node serves many transfers at the same time") {
  constexpr std::size_t kMaxTransfers = 8;
  DistributionSimulation mesh(600, 6, kFit);
  mesh.SendAllHeartbeats();
  while (!mesh.AllHaveNew()) {
    for (const auto& [source, transfers] : mesh.RunTransferRound())
      CHECK(transfers <= (source == mesh.AddressOf(0) ? kMaxTransfers : 2));
  }
}

// Guards against nodes that wait forever for a source that has been lost.
TEST_CASE("lost sources are skipped") {
  DistributionSimulation mesh(83, 3, kWeak);
  mesh.SendAllHeartbeats();
  mesh.RunTransferRound();
  mesh.RunTransferRound();
  for (std::size_t node = 1; node < mesh.size(); ++node) {
    if (mesh.HasNew(node))
      mesh.Lose(node);
  }
  CHECK(mesh.RunUntilAllHaveNew(20) < 20);
}

// Guards against a node that is never assigned a source again because the reply
// that assigned one was lost.
TEST_CASE("a source is assigned again if the reply that named it is lost") {
  DistributionSimulation mesh(2, 1, kWeak);
  mesh.SendAllHeartbeats();
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
  CHECK(mesh.Assign(1).empty());
  mesh.AdvanceWithHeartbeats(milliseconds(400));
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
}

// Guards against a node that waits forever for a transfer that never ends.
TEST_CASE("a transfer that takes too long is given up") {
  DistributionSimulation mesh(2, 1, kWeak);
  mesh.SendAllHeartbeats();
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
  mesh.SetFetching(1);
  mesh.AdvanceWithHeartbeats(milliseconds(800));
  CHECK(mesh.Assign(1).empty());
  mesh.AdvanceWithHeartbeats(milliseconds(800));
  mesh.Assign(1);
  mesh.AdvanceWithHeartbeats(milliseconds(600));
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
}

// Guards against a failed transfer that excludes the only source for good.
TEST_CASE("a source that failed once is tried again") {
  DistributionSimulation mesh(2, 1, kWeak);
  mesh.SendAllHeartbeats();
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
  mesh.SendHeartbeat(1, true);
  CHECK(mesh.Assign(1).empty());
  mesh.AdvanceWithHeartbeats(milliseconds(600));
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
}

// Guards against a source whose capacity stays taken by nodes that have been
// lost.
TEST_CASE("a source is free again when its receivers are lost") {
  DistributionSimulation mesh(4, 1, kWeak);
  mesh.SendAllHeartbeats();
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
  CHECK(mesh.Assign(2) == mesh.AddressOf(0));
  CHECK(mesh.Assign(3).empty());
  mesh.Lose(1);
  mesh.Lose(2);
  mesh.AdvanceWithHeartbeats(milliseconds(1200));
  CHECK(mesh.Assign(3) == mesh.AddressOf(0));
}

// Guards against sources that stay busy with transfers of the previous version.
TEST_CASE("a node that received the previous version gets a source at once") {
  constexpr std::uint64_t kNewer = 15;
  DistributionSimulation mesh(2, 1, kWeak);
  mesh.SendAllHeartbeats();
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
  mesh.SetVersion(0, kNewer);
  mesh.SendHeartbeat(0);
  mesh.SetVersion(1, kNew);
  mesh.SendHeartbeat(1);
  CHECK(mesh.Assign(1) == mesh.AddressOf(0));
}

// Guards against a delayed heartbeat that makes a node appear outdated again.
TEST_CASE("a delayed heartbeat changes nothing") {
  const ManualClock clock;
  ConfigDistributor distributor(clock);
  Heartbeat late;
  late.address = "10.0.0.1:7240";
  late.sequence = 1;
  late.config_version = kOld;
  Heartbeat last = late;
  last.sequence = 2;
  last.config_version = kNew;
  Heartbeat other = last;
  other.address = "10.0.0.2:7240";
  distributor.OnHeartbeat(other);
  distributor.OnHeartbeat(last);
  distributor.OnHeartbeat(late);
  CHECK(distributor.AssignSource(late.address).empty());
}

// Guards against assigning a source that has restarted and has no
// configuration.
TEST_CASE("a restarted node is no source until it has the version") {
  DistributionSimulation mesh(2, 1, kWeak);
  mesh.Restart(0);
  mesh.SendAllHeartbeats();
  CHECK(mesh.distributor().newest() == kOld);
  CHECK(mesh.Assign(0) == mesh.AddressOf(1));
  mesh.Restart(1);
  mesh.SendAllHeartbeats();
  mesh.clock().Advance(milliseconds(1500));
  CHECK(mesh.distributor().AssignSource(mesh.AddressOf(0)).empty());
}

// Guards against transfers between availability zones, which take bandwidth
// from callers' requests.
TEST_CASE("a node fetches within its availability zone where it can") {
  DistributionSimulation mesh(9, 3, kFit);
  mesh.SendAllHeartbeats();
  mesh.RunUntilAllHaveNew(1);
  // At least one node in each zone has the version now.
  mesh.Restart(4);
  mesh.SendHeartbeat(4);
  const std::string source = mesh.distributor().AssignSource(mesh.AddressOf(4));
  CHECK((source == mesh.AddressOf(1) || source == mesh.AddressOf(7)));
}

}  // namespace citrongrade
