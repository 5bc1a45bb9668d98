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
// preferred, and waited for while it is busy; a node whose last transfer failed
// gets another one.
//
// Thread-confined, no input or output. Kin: ConfigTransfer, which fetches.
class ConfigSpread {
 public:
  explicit ConfigSpread(const Clock& clock);

  void OnHeartbeat(const Heartbeat& heartbeat);

  // The newest version that any node has.
  std::uint64_t newest() const { return m_newest; }

  // From whom the node is to fetch it. Empty: it has it, is fetching it, or has
  // to wait until a source is free.
  std::string AssignSource(const std::string& node);

 private:
  struct Node {
    std::string zone;
    std::uint64_t version = 0;
    Clock::TimePoint heard;
    // Transfers from it at the same time, those under way and the most.
    unsigned serving = 0;
    unsigned most_serving = 0;
    // From whom it fetches; empty: from nobody.
    std::string source;
    Clock::TimePoint assigned;
    // Whose transfer to it failed last.
    std::string failed_source;
  };
  using Addresses = std::set<std::string>;

  void BeginVersion(std::uint64_t version);
  void EndTransfer(Node& node);
  bool IsFresh(const Node& node) const;
  // It has the newest version no more: its process is another one.
  void Withdraw(const std::string& address, const Node& node);
  bool HasHolder(const std::string& zone) const;
  void OfferIfFree(const std::string& address, const Node& node);
  // Of those with room; empty when there is none.
  std::string FindIn(const Addresses& free, const Node& node) const;
  std::string FindSource(const Node& node) const;

  const Clock& m_clock;
  std::uint64_t m_newest = 0;
  std::map<std::string, Node> m_nodes;
  // By availability zone: who has the newest version, and which of them have
  // room for another transfer.
  std::map<std::string, Addresses> m_holders;
  std::map<std::string, Addresses> m_free;
};

}  // namespace citrongrade
