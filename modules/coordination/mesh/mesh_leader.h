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
#include "modules/coordination/mesh/heartbeat.h"
#include "modules/coordination/mesh/heartbeat_reply.h"
#include "modules/coordination/mesh/key_assigner.h"
#include "modules/coordination/mesh/leadership_lease.h"
#include "modules/coordination/mesh/lease_duration_controller.h"
#include "modules/coordination/mesh/mesh_timing.h"
#include "modules/state/mesh/mesh_record.h"
#include "modules/state/mesh/mesh_view.h"

namespace citrongrade {

// What the one leading node of a mesh does: it hears from every node, grants it
// a lease, publishes who is there and who owns which keys, and moves keys.
//
// How to use it: make one once the mesh's record is claimed in the store. Feed
// it heartbeats, answer them by MakeReply(), call Tick() every 50 ms or so, and
// store what RecordToStore() gives, under the condition that nobody else wrote.
//
// Keys of a node are given to others only when its lease, and so every hold
// that its target has by it, has run out for certain: a lease that the leader
// before may have granted counts in full from the moment of this one's claim.
// Without authority (votes of more than half) it grants and changes nothing.
//
// Thread-confined, no input or output. Kin: MeshNode, its counterpart at every
// node; LeadershipLease; KeyAssigner.
class MeshLeader {
 public:
  MeshLeader(const Clock& clock,
             const MeshTiming& timing,
             const std::string& self,
             std::uint64_t nonce,
             const MeshRecord& claimed);

  // Services whose keys are given out, from the operators' configuration.
  void SetShardedServices(const std::set<std::string>& services);

  void OnVote(const std::string& voter, Clock::TimePoint asked);
  void OnHeartbeat(const Heartbeat& heartbeat);
  HeartbeatReply MakeReply(const Heartbeat& heartbeat);
  // Something that the node should hear at once: its own keys, an order. Other
  // news is told to all together, now and then.
  bool NeedsImmediateReply(const Heartbeat& heartbeat) const;

  void Tick();

  bool HasAuthority() const;
  // Nothing when nothing is to be stored, or one is on its way already.
  std::optional<MeshRecord> RecordToStore();
  // The record on its way took effect.
  void OnStored();

  // The store did not answer this node, but answers others: one of them should
  // lead. From then on every reply says so.
  void Resign(const std::string& successor);
  bool has_resigned() const { return m_has_resigned; }
  // Who would lead best after this node, one that the store answers if there
  // is any; empty when there is none.
  std::string FindSuccessor() const;
  bool CanSuccessorReachStore() const;
  // A node on a host that is far fitter to lead, and that has been there for a
  // while; empty when there is none. A weak host leads when it is the first to
  // be asked for its vote, after the loss of many: its processor, taken up by
  // the mesh, then serves nobody, and its answers come late.
  std::string FindFitterLeader() const;

  const MeshView& view() const { return m_view; }
  // Members of the record that have not been heard of.
  std::vector<std::string> MissingVoters() const;
  std::size_t node_count() const { return m_nodes.size(); }

 private:
  struct Node {
    Heartbeat last_heartbeat;
    Clock::TimePoint first_heard;
    Clock::TimePoint last_heard;
    Clock::TimePoint lease_until;
    std::size_t crash_suspects_sent = 0;
    bool has_promised = false;
  };

  const Node* FindBestSuccessor() const;
  bool HasOwnershipExpired(const SlotAssignment& run) const;
  bool IsTimedOut(const Node& node) const;
  MeshMember::State StateOf(const Node& node) const;
  void PublishMember(const Node& node);
  void PublishBeforeStore();
  void PublishAssignment(const KeyAssigner::Change& change);
  // The stored record names the change's owner as the next one already.
  bool IsNextOwnerStored(const KeyAssigner::Change& change) const;
  bool NeedsStore() const;
  void UpdateAssignments();
  // How long the work of targets with keys takes, by their last heartbeats.
  std::vector<std::chrono::milliseconds> MeanServiceTimes() const;
  // Has other nodes read the store when those that should can't.
  void ChooseStoreReaders();
  // The next after `previous` on one of the fittest hosts; empty: there is
  // none.
  std::string NextStoreReader(const std::string& previous) const;
  bool IsStoreReader(const std::string& address) const;
  std::vector<KeyAssigner::Member> AssignableMembers() const;
  std::vector<std::string> DesiredVoters() const;
  bool IsPlacementAllowed() const;

  const Clock& m_clock;
  const MeshTiming m_timing;
  const std::string m_self;
  const std::uint64_t m_nonce;
  const Clock::TimePoint m_leading_since;
  const bool m_is_new_mesh;
  MeshRecord m_stored_record;
  std::optional<MeshRecord> m_pending_record;
  std::vector<KeyAssigner::Change> m_pending_changes;
  // Changes that took effect before they are stored: see IsStoredMove().
  std::size_t m_published_unstored = 0;
  Clock::TimePoint m_first_published_unstored;
  LeadershipLease m_leadership_lease;
  // Of the nodes' leases, by which their targets hold keys.
  LeaseDurationController m_lease_duration;
  // A lease that a leader before granted has ended by then.
  const Clock::TimePoint m_previous_leases_end;
  KeyAssigner m_assigner;
  MeshView m_view;
  std::map<std::string, Node> m_nodes;
  Clock::TimePoint m_round_started;
  bool m_has_resigned = false;
  std::string m_successor;
  // Nodes that read the store beside this one, and since when. Two: with one,
  // a leader and a reader that lost the store one after the other left a new
  // configuration unread for 2.7 s.
  struct StoreReader {
    std::string address;
    Clock::TimePoint since;
  };
  std::array<StoreReader, 2> m_store_readers;
  // Named in a row since one of them had an answer.
  unsigned m_failed_reader_choices = 0;
  std::vector<std::uint64_t> m_crash_suspects;
  // By node: the view version from which on it knows what concerns itself.
  std::map<std::string, std::uint64_t> m_required_view_versions;
};

}  // namespace citrongrade
