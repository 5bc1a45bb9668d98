#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/coordination/mesh/heartbeat.h"

namespace citrongrade {

// Distributes the newest configuration from node to node instead of from one
// node to all: every node that has it is assigned as a source to a few others
// at a time. The time to reach all nodes grows with the logarithm of their
// number, and no link carries more than a few transfers.
//
// The leader passes each heartbeat to OnHeartbeat() and calls AssignSource()
// before it replies. Sources in the node's own availability zone are preferred;
// if all of them are busy, the node waits for one for a short time. Nodes,
// sources and transfers that are no longer heard of expire.
//
// Not thread-safe; does no I/O. See also ConfigTransfer, which fetches the
// configuration.
class ConfigDistributor {
 public:
  explicit ConfigDistributor(const Clock& clock);

  // Ignores a heartbeat that arrives after a later one of the same process.
  void OnHeartbeat(const Heartbeat& heartbeat);

  // The newest version that any node has reported.
  std::uint64_t newest() const { return m_newest; }

  // Returns from whom the node at `address` is to fetch. Empty if it has the
  // newest version, is fetching it, or has to wait for a free source.
  std::string AssignSource(const std::string& address);

 private:
  struct Node {
    std::string zone;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t version = 0;
    Clock::TimePoint last_heartbeat;
    // When the node's version changed last, or when a newer version appeared.
    Clock::TimePoint behind_since;
    unsigned max_transfers = 0;
    // By receiver's address: when the transfer is given up at the latest.
    std::map<std::string, Clock::TimePoint> outgoing_transfers;
    // The source it fetches from; empty if none.
    std::string source;
    Clock::TimePoint assigned_at;
    // The source of the last failed transfer, and when it failed.
    std::string failed_source;
    Clock::TimePoint failed_at;
  };

  void OnNewVersion(std::uint64_t version);
  void UpdateNode(const Heartbeat& heartbeat, Node& node);
  void EndTransfer(const std::string& address, Node& node);
  void FailTransfer(const std::string& address, Node& node);
  bool HasRecentHeartbeat(const Node& node) const;
  bool HasCapacity(Node& source) const;
  bool IsUsableSource(const std::string& source, const Node& node) const;
  bool ShouldWaitForZone(const Node& node) const;
  // Empty if no source in the zone is free.
  std::string FindSourceInZone(const std::string& zone, const Node& node);
  std::string FindSource(const Node& node);

  const Clock& m_clock;
  std::uint64_t m_newest = 0;
  std::map<std::string, Node> m_nodes;
  // By availability zone: the nodes that have the newest version.
  std::map<std::string, std::set<std::string>> m_sources_by_zone;
};

}  // namespace citrongrade
