#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/coordination/mesh/heartbeat.h"

namespace citrongrade {

// Has the newest configuration pass from node to node, in place of from one
// place to all: whoever has it is named as a source to others that are behind,
// each to a few at the same time. The time to reach all grows with the
// logarithm of their number, and no link carries more than a few transfers.
//
// How to use it: the leader tells it each heartbeat, and asks for a source
// before it answers one. A source of the node's own availability zone is
// preferred, and waited for a little while it is busy. What is not heard of any
// more, a node, a source or a transfer, is given up after a time.
//
// Thread-confined, no input or output. Kin: ConfigTransfer, which fetches.
class ConfigDistributor {
 public:
  explicit ConfigDistributor(const Clock& clock);

  // One that was overtaken by a later one of the same process is dropped.
  void OnHeartbeat(const Heartbeat& heartbeat);

  // The newest version that any node has.
  std::uint64_t newest() const { return m_newest; }

  // From whom the node is to fetch it. Empty: it has it, is fetching it, or has
  // to wait until a source is free.
  std::string AssignSource(const std::string& node);

 private:
  struct Node {
    std::string zone;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t version = 0;
    Clock::TimePoint last_heartbeat;
    // Since when it has had this version, or the newest has been another.
    Clock::TimePoint behind_since;
    unsigned max_transfers = 0;
    // Who fetches from it, and when that is given up at the latest.
    std::map<std::string, Clock::TimePoint> outgoing_transfers;
    // From whom it fetches; empty: from nobody.
    std::string source;
    Clock::TimePoint assigned_at;
    // Whose transfer to it failed last, and when.
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
  // Empty when nobody there has room.
  std::string FindSourceInZone(const std::string& zone, const Node& node);
  std::string FindSource(const Node& node);

  const Clock& m_clock;
  std::uint64_t m_newest = 0;
  std::map<std::string, Node> m_nodes;
  // Who has the newest version, by availability zone.
  std::map<std::string, std::set<std::string>> m_sources_by_zone;
};

}  // namespace citrongrade
