#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/mesh/departure_reply.h"
#include "modules/state/mesh/target_departure.h"

namespace citrongrade {

struct Heartbeat;

// The leader's part in remembering which targets have said that they leave.
//
// A node confirms to its target that it leaves, and from then on no request may
// reach the target. That binds each later process of the node, so a departure
// is kept in the stored record, and the node confirms it only once it is there.
// It is forgotten after a while, when no late report of the target can arrive
// any more.
//
// Usage: create it with what the claimed record contains. Pass it every
// heartbeat; while NeedsStore(), store what BeginStore() returns and call
// OnStored() when that has taken effect. Not thread-safe. See also
// DepartureTracker, the nodes' part.
class DepartureLedger {
 public:
  DepartureLedger(const Clock& clock,
                  const std::vector<TargetDeparture>& stored);

  void OnHeartbeat(const Heartbeat& heartbeat);
  DepartureReply MakeReply(const std::string& node) const;
  // DepartureReply::version of the node's next reply.
  std::uint64_t VersionOf(const std::string& node) const;

  bool NeedsStore() const { return m_version > m_stored_version; }
  // Returns what to store, in order. OnStored() then refers to it.
  std::vector<TargetDeparture> BeginStore();
  void OnStored();

 private:
  void Add(const TargetDeparture& departure);
  void Retract(std::uint32_t node_hash, std::uint64_t id_hash);
  void RemoveExpired();

  const Clock& m_clock;
  // What is to be stored, and since when this leader has known it.
  std::map<TargetDeparture, Clock::TimePoint> m_current;
  std::set<TargetDeparture> m_pending;
  std::set<TargetDeparture> m_stored;
  // Of m_current, m_pending and m_stored.
  std::uint64_t m_version = 1;
  std::uint64_t m_pending_version = 1;
  std::uint64_t m_stored_version = 1;
  // By TargetDeparture::node_hash: the version that last changed what is stored
  // for the node.
  std::map<std::uint32_t, std::uint64_t> m_node_versions;
};

}  // namespace citrongrade
