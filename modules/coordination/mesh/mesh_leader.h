#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/mesh/crash_ledger.h"
#include "modules/coordination/mesh/departure_ledger.h"
#include "modules/coordination/mesh/heartbeat.h"
#include "modules/coordination/mesh/heartbeat_reply.h"
#include "modules/coordination/mesh/key_assigner.h"
#include "modules/coordination/mesh/leadership_lease.h"
#include "modules/coordination/mesh/lease_duration_controller.h"
#include "modules/coordination/mesh/mesh_timing.h"
#include "modules/coordination/mesh/ownership_end.h"
#include "modules/state/mesh/mesh_record.h"
#include "modules/state/mesh/mesh_view.h"

namespace citrongrade {

// The work of a mesh's leader: it receives the heartbeats of all nodes, grants
// leases to them, publishes the members and the owners of the keys, and moves
// keys between owners.
//
// Usage: create it once the mesh's record has been claimed in the store. Pass
// it all heartbeats and reply with MakeReply(), call Tick() about every 50 ms,
// and write the result of RecordToStore() on condition that nobody else has
// written since.
//
// The keys of a node are assigned to others only once its lease has certainly
// expired, and with it every hold of its target. A lease that the previous
// leader may have granted counts in full from the time of this leader's claim.
// Without authority (the votes of a majority) it grants and changes nothing.
//
// Not thread-safe; does no I/O. See also MeshAgent, which runs it,
// LeadershipLease and KeyAssigner.
class MeshLeader {
 public:
  MeshLeader(const Clock& clock,
             const MeshTiming& timing,
             const std::string& self,
             std::uint64_t nonce,
             const MeshRecord& claimed);

  // Sets the services that are sharded by key, from the operators'
  // configuration.
  void SetShardedServices(const std::set<std::string>& services);
  // Targets in these availability zones get no new requests, and their keys
  // move to others, as if each of them were draining.
  void SetEvacuatedZones(const std::set<std::string>& zones) {
    m_evacuated_zones = zones;
  }

  void OnVote(const std::string& voter, Clock::TimePoint requested_at);
  void OnHeartbeat(const Heartbeat& heartbeat);
  HeartbeatReply MakeReply(const Heartbeat& heartbeat);
  // True if the node has to get a reply at once, because its own keys have
  // changed or its heartbeat requires it. Other changes are sent to all nodes
  // together at intervals.
  bool NeedsImmediateReply(const Heartbeat& heartbeat) const;

  void Tick();

  bool HasAuthority() const;
  // Returns nothing if there is nothing to store or a write is in progress.
  std::optional<MeshRecord> RecordToStore();
  // Call this when the write of the last RecordToStore() has taken effect.
  void OnStored();

  // Gives up the leadership in favour of `successor`, for example because the
  // store replies to other nodes but not to this one. All later replies report
  // it.
  void Resign(const std::string& successor);
  bool has_resigned() const { return m_has_resigned; }
  // The node that is best suited to lead next, preferably one that can reach
  // the store; empty if there is none.
  std::string FindSuccessor() const;
  bool CanSuccessorReachStore() const;
  // A node on a host that is far better suited to lead and that has been
  // present for a while; empty if there is none. A host with little capacity
  // becomes leader if it is the first to request votes after many nodes were
  // lost. The leader's work then takes up its processor, so that it serves no
  // requests, and its replies are late.
  std::string FindFitterLeader() const;

  const MeshView& view() const { return m_view; }
  // Voters of the stored record without a recent heartbeat.
  std::vector<std::string> MissingVoters() const;
  std::size_t node_count() const { return m_nodes.size(); }
  const CrashLedger& crash_ledger() const { return m_crash_ledger; }

 private:
  struct Node {
    Heartbeat last_heartbeat;
    Clock::TimePoint first_heard;
    // Its process started while this node led.
    bool is_restarted = false;
    Clock::TimePoint last_heard;
    Clock::TimePoint lease_until;
    // When the present incarnation of its target was first reported to serve.
    Clock::TimePoint target_registered;
    bool has_promised = false;
  };

  const Node* FindBestSuccessor() const;
  // Whether grants of an earlier process of the node may still hold its keys,
  // so that it can't give them back yet.
  bool MayHoldEarlierGrants(const Node& node) const;
  // Why the owner no longer holds the slots; nothing if it may.
  std::optional<OwnershipEnd> FindOwnershipEnd(
      const SlotAssignment& assignment) const;
  bool IsTimedOut(const Node& node) const;
  MeshMember::State StateOf(const Node& node) const;
  void PublishMember(const Node& node);
  void PublishBeforeStore();
  void PublishAssignment(const KeyAssigner::Change& change);
  // True if the stored record already names the change's owner as the next
  // owner.
  bool IsNextOwnerStored(const KeyAssigner::Change& change) const;
  bool NeedsStore() const;
  void UpdateAssignments();
  void UpdateLeaseDuration();
  std::chrono::milliseconds LeaseFor(const Heartbeat& heartbeat) const;
  // Chooses other nodes to read the store if the current readers can't reach
  // it.
  void ChooseStoreReaders();
  // The next node after `previous` on one of the fittest hosts; empty if there
  // is none.
  std::string NextStoreReader(const std::string& previous) const;
  bool IsStoreReader(const std::string& address) const;
  std::vector<KeyAssigner::Member> AssignableMembers() const;
  std::vector<std::string> DesiredVoters() const;
  bool IsPlacementAllowed() const;
  // Whether a target of a sharded service has registered a moment ago.
  bool AreTargetsRegistering() const;

  const Clock& m_clock;
  const MeshTiming m_timing;
  const std::string m_self;
  const std::uint64_t m_nonce;
  const Clock::TimePoint m_leading_since;
  // No keys have been assigned yet.
  bool m_is_new_mesh;
  MeshRecord m_stored_record;
  std::optional<MeshRecord> m_pending_record;
  std::vector<KeyAssigner::Change> m_pending_changes;
  // Number of changes that were published before they are stored; see
  // IsNextOwnerStored().
  std::size_t m_published_unstored = 0;
  Clock::TimePoint m_first_published_unstored;
  LeadershipLease m_leadership_lease;
  // Duration of the nodes' leases, under which their targets hold keys.
  LeaseDurationController m_lease_duration;
  // Time by which all leases granted by previous leaders have expired.
  const Clock::TimePoint m_previous_leases_end;
  KeyAssigner m_assigner;
  MeshView m_view;
  std::map<std::string, Node> m_nodes;
  std::set<std::string> m_evacuated_zones;
  Clock::TimePoint m_round_started;
  bool m_has_resigned = false;
  std::string m_successor;
  // Nodes that read the store in addition to this one, and since when. There
  // are two: with one, a new configuration stayed unread for 2.7 s when the
  // leader and then the reader lost the store.
  struct StoreReader {
    std::string address;
    Clock::TimePoint since;
  };
  std::array<StoreReader, 2> m_store_readers;
  // Number of readers chosen in a row since one of them reached the store.
  unsigned m_failed_reader_choices = 0;
  CrashLedger m_crash_ledger;
  DepartureLedger m_departure_ledger;
  // By node: the first view version that contains all changes to the node's own
  // keys.
  std::map<std::string, std::uint64_t> m_required_view_versions;
};

}  // namespace citrongrade
