#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/mesh/heartbeat.h"
#include "modules/coordination/mesh/heartbeat_reply.h"
#include "modules/coordination/mesh/leader_tracker.h"
#include "modules/coordination/mesh/mesh_timing.h"
#include "modules/coordination/mesh/vote.h"
#include "modules/coordination/mesh/vote_promise.h"
#include "modules/state/mesh/mesh_record.h"
#include "modules/state/mesh/mesh_view.h"
#include "modules/transport/async/async_http_server.h"
#include "modules/transport/async/task.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

class AsyncConnectionPool;
class ConfigFollower;
class ConfigDistributor;
class ConfigTransfer;
class LoopMonitor;
class MeshLeader;
class MeshStore;

// This node's membership in the mesh: finds the leader or becomes it, sends the
// leader heartbeats, and keeps the view and the lease from its replies. Also
// handles the messages of other nodes.
//
// A leader is elected by the votes of more than half of the voters in the
// stored record, and then claims the mesh by a conditional write to the store,
// which fails if another node wrote in between. Votes are promised for a
// limited time, so an old leader has lost its authority before a new one gains
// any.
//
// Runs on the event loop. Does the network and store calls; MeshLeader and
// VotePromise make the decisions.
class MeshAgent final : public AsyncHttpServer::Handler {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // Adds the fields that the agent does not know itself.
    virtual void FillHeartbeat(Heartbeat& heartbeat) = 0;
    virtual void OnReply(const HeartbeatReply& reply) = 0;
    virtual void OnViewChanged() = 0;
    // A node without a leader has read the stored record.
    virtual void OnRecordRead(const MeshRecord& record) = 0;
  };

  struct Identity {
    std::string address;
    std::string data_address;
    std::string zone;
    // 0 to 1: how well the host suits the work of a leader.
    double leader_fitness = 1;
  };

  MeshAgent(boost::asio::io_context& loop,
            const Clock& clock,
            const MeshTiming& timing,
            Identity identity,
            MeshStore& store,
            ConfigFollower& config,
            ConfigTransfer& transfer,
            AsyncConnectionPool& peers,
            LoopMonitor& monitor,
            Listener& listener);
  ~MeshAgent() override;

  void Start();
  Task<HttpResponse> Handle(HttpRequest request,
                            RequestContext& context) override;

  // Has a heartbeat sent to the leader at once. At the leader, starts its next
  // step at once.
  void TriggerHeartbeat();
  // The node is shutting down: its keys and its vote go to other nodes.
  void SetLeaving();
  // Sets the services whose keys the leader assigns to targets.
  void SetShardedServices(std::set<std::string> services);
  // The zones that are evacuated have changed. The leader moves keys away from
  // their targets, and other nodes tell it at once.
  void OnEvacuations();

  const MeshView& view() const { return m_view; }
  // When the last heartbeat was sent that a leader has answered with the view.
  Clock::TimePoint view_as_of() const { return m_view_as_of; }
  const Identity& identity() const { return m_identity; }
  // Random number that identifies this process.
  std::uint64_t incarnation() const { return m_incarnation; }
  Clock::TimePoint lease_until() const { return m_lease_until; }
  // Upper bound of any lease that may be in force.
  std::chrono::milliseconds max_lease() const { return m_max_lease; }
  bool is_leader() const { return m_leader != nullptr; }
  // Requests that ran beside crashes and that the ledger of this node's present
  // term as leader has forgotten for lack of room; 0 while it doesn't lead.
  std::uint64_t ledger_evicted_count() const;
  // Whether this node should read the configuration from the store itself,
  // rather than from other nodes only.
  bool should_read_store() const;
  // How long no leader has answered. Zero while a leader answers.
  Clock::Duration TimeWithoutLeader() const;
  std::string leader_address() const { return m_leader_tracker.address(); }

 private:
  struct GoneLeader {
    std::string address;
    std::uint64_t epoch = 0;
  };
  struct VoteRound;

  Task<> Run();
  Task<> SendUrgentHeartbeats();
  Task<> SendHeartbeat();
  Task<> RunLeaderStep();
  Task<> FindLeader();
  Task<> Campaign(MeshRecord record,
                  std::uint64_t end_position,
                  bool is_named_successor);
  Task<> RequestVote(std::string voter, std::shared_ptr<VoteRound> round);
  void ReleaseVotes(const VoteRound& round);
  Task<> ReleaseVote(std::string voter);
  Task<> ClaimNewMesh(std::uint64_t end_position);
  Task<bool> ClaimLeadership(MeshRecord record, std::uint64_t end_position);
  void BecomeLeader(const MeshRecord& record);
  void StepDown(const char* reason);
  void Resign(const std::string& successor, const std::string& reason);
  // Resigns once another node can lead.
  void ResignBeforeLeaving();
  void ResignToFitterLeader();
  Task<> StoreRecord(MeshRecord record, std::shared_ptr<MeshLeader> leader);
  // Makes one attempt to write the record. Returns true when nothing is left to
  // write: the write took effect, or another leader has claimed the mesh and
  // this node has stepped down. Returns false if the attempt should be
  // repeated.
  Task<bool> TryStoreRecord(const std::string& bytes,
                            const std::shared_ptr<MeshLeader>& leader);
  Task<> AnnounceLeadership(std::string node);

  Heartbeat MakeHeartbeat(bool is_vote_promised);
  // Returns true if `from` is the leader.
  bool HandleReply(const HeartbeatReply& reply,
                   const std::string& from,
                   Clock::TimePoint sent);
  HeartbeatReply MakeReply(const Heartbeat& heartbeat,
                           const std::string& config_source);
  // Applies the configuration fields of the leader's reply.
  void UpdateConfigState(const HeartbeatReply& reply);
  Task<HttpResponse> HandleHeartbeat(const HttpRequest& request);
  // Steps whose cost grows with the mesh; each is timed by the LoopMonitor.
  Heartbeat ProcessHeartbeat(const std::string& bytes);
  HttpResponse MakeHeartbeatResponse(const Heartbeat& heartbeat,
                                     const std::string& config_source);
  HeartbeatReply DecodeReply(const std::string& bytes);
  MeshRecord DecodeRecord(const std::string& bytes);
  std::string EncodeRecord(const MeshRecord& record);
  void TickLeader(MeshLeader& leader);
  std::optional<MeshRecord> RecordToStore(MeshLeader& leader);
  void NotifyStored(MeshLeader& leader);
  HttpResponse HandleVote(const HttpRequest& request);
  // Answers the held heartbeats of nodes that a change concerns. If the view
  // changed and the last broadcast was long enough ago, answers all held
  // heartbeats.
  void AnswerWaitingHeartbeats();
  std::chrono::milliseconds FitnessDelay();
  // How long this node waits before it asks for votes, so that fitter nodes go
  // first.
  std::chrono::milliseconds CampaignDelay(const MeshRecord& record);
  // Records that the process at `leader` no longer exists. The node was asked
  // after the stored record had been read, so a process that runs there now
  // leads only if it claims the mesh again.
  void RecordLeaderGone(const std::string& leader);
  bool IsLeaderGone(const MeshRecord& record) const;
  // Promises this node's vote to `leader`, if `leader` is confirmed and the
  // vote is free.
  bool TryPromiseVote(const std::string& leader);
  Task<> Pause(std::chrono::milliseconds duration);
  Task<std::string> CallPeer(std::string peer,
                             std::string target,
                             std::string body,
                             std::chrono::milliseconds timeout);

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  const MeshTiming m_timing;
  const Identity m_identity;
  MeshStore& m_store;
  ConfigFollower& m_config;
  ConfigTransfer& m_transfer;
  AsyncConnectionPool& m_peers;
  LoopMonitor& m_monitor;
  Listener& m_listener;
  std::mt19937_64 m_random;
  const std::uint64_t m_incarnation;

  VotePromise m_vote_promise;
  LeaderTracker m_leader_tracker;
  std::uint64_t m_leader_nonce = 0;
  std::int64_t m_leader_stamp_ns = 0;
  Clock::TimePoint m_lease_until;
  Clock::TimePoint m_view_as_of;
  std::chrono::milliseconds m_max_lease{0};
  MeshView m_view;
  bool m_is_store_reader = false;
  // Since when this node's configuration, of version m_config_behind_version
  // (0: none), has been outdated. Empty while it has the newest version that it
  // knows of.
  std::optional<Clock::TimePoint> m_config_behind_since;
  std::uint64_t m_config_behind_version = 0;
  // Random extra delay before this node reads the store itself.
  const std::chrono::milliseconds m_store_read_jitter;
  bool m_is_leaving = false;
  bool m_is_named_successor = false;
  // Epoch of the stored record that was read last.
  std::uint64_t m_record_epoch = 0;
  // The leader of that epoch, once its process is known to be gone.
  std::optional<GoneLeader> m_gone_leader;
  std::uint64_t m_sequence = 0;
  // By node: since when its address has refused connections.
  std::map<std::string, Clock::TimePoint> m_refused_since;

  std::shared_ptr<MeshLeader> m_leader;
  // Set while this node leads, as is m_leader.
  std::unique_ptr<ConfigDistributor> m_config_distributor;
  std::uint64_t m_record_end_position = 0;
  bool m_is_storing = false;
  // Until this time replies report that this node has resigned.
  Clock::TimePoint m_report_resigned_until;
  std::set<std::string> m_sharded_services;
  Clock::TimePoint m_last_announcement;
  std::uint64_t m_broadcast_version = 0;
  Clock::TimePoint m_last_broadcast;

  struct Waiter;
  // Long-polled heartbeats: the leader holds its reply until there is a change
  // to report.
  std::set<std::shared_ptr<Waiter>> m_waiting_heartbeats;
  // Cancelled to end the current pause of Run() early.
  std::shared_ptr<Waiter> m_current_pause;
  bool m_is_heartbeat_due = false;
  bool m_is_sending_urgent = false;
};

}  // namespace citrongrade
