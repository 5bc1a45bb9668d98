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

// This node's part in the mesh: it finds the leader or becomes it, sends it
// heartbeats, and keeps the view and the lease that come back. Answers the
// messages of other nodes.
//
// Who leads is decided by votes of more than half of the nodes that the stored
// record names, and by a claim in the store that fails if anybody else wrote
// meanwhile. Votes are promised for a time, so an old leader has lost its
// authority before a new one has any.
//
// On the event loop. Kin: MeshLeader, VotePromise, which decide; this one sends
// and waits.
class MeshAgent final : public AsyncHttpServer::Handler {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // What a heartbeat says beside what the agent knows itself.
    virtual void FillHeartbeat(Heartbeat& heartbeat) = 0;
    virtual void OnReply(const HeartbeatReply& reply) = 0;
    virtual void OnViewChanged() = 0;
  };

  struct Identity {
    std::string address;
    std::string data_address;
    std::string zone;
    // 0 to 1: how fit its host is for the work of a leader.
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

  // The leader should hear from this node now.
  void TriggerHeartbeat();
  // This node was told to stop: its keys go to others, its vote as well.
  void SetLeaving();
  // Services whose keys the leader gives out.
  void SetShardedServices(std::set<std::string> services);

  const MeshView& view() const { return m_view; }
  const Identity& identity() const { return m_identity; }
  // Drawn by this process at its start.
  std::uint64_t incarnation() const { return m_incarnation; }
  Clock::TimePoint lease_until() const { return m_lease_until; }
  // Any lease that may be in force lasts at most so long.
  std::chrono::milliseconds max_lease() const { return m_max_lease; }
  bool is_leader() const { return m_leader != nullptr; }
  // The node should read the store for itself.
  bool should_read_store() const;
  // Since when no leader has answered; zero: it does.
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
  Task<> Campaign(MeshRecord record, std::uint64_t end, bool is_named);
  Task<> RequestVote(std::string voter, std::shared_ptr<VoteRound> count);
  void ReleaseVotes(const VoteRound& count);
  Task<> ReleaseVote(std::string voter);
  Task<> ClaimNewMesh(std::uint64_t end);
  Task<bool> ClaimLeadership(MeshRecord record, std::uint64_t end);
  void BecomeLeader(const MeshRecord& record);
  void StepDown(const char* reason);
  void Resign(const std::string& successor, const std::string& why);
  // Once another can lead.
  void ResignBeforeLeaving();
  void ResignToFitterLeader();
  Task<> StoreRecord(MeshRecord record, std::shared_ptr<MeshLeader> leader);
  // True once it is known to be stored, false if somebody else has written.
  Task<bool> TryStoreRecord(const std::string& bytes,
                            const std::shared_ptr<MeshLeader>& leader);
  Task<> AnnounceLeadership(std::string node);

  Heartbeat MakeHeartbeat(bool promises);
  // True when `from` leads.
  bool HandleReply(const HeartbeatReply& reply,
                   const std::string& from,
                   Clock::TimePoint sent);
  HeartbeatReply MakeReply(const Heartbeat& heartbeat,
                           const std::string& config_source);
  // What the leader says of the configuration.
  void UpdateConfigState(const HeartbeatReply& reply);
  Task<HttpResponse> HandleHeartbeat(const HttpRequest& request);
  // Steps whose cost grows with the mesh, each timed by the LoopMonitor.
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
  // Answers waiting heartbeats: those of nodes that news concern, and all when
  // there is news for all and the last was some time ago.
  void AnswerWaitingHeartbeats();
  std::chrono::milliseconds FitnessDelay();
  // How long this node stands back for others that may lead.
  std::chrono::milliseconds CampaignDelay(const MeshRecord& record);
  // `leader` was asked after the record had been read, and its process turned
  // out to be gone: one that is there now leads only if it claims anew.
  void RecordLeaderGone(const std::string& leader);
  bool IsLeaderGone(const MeshRecord& record) const;
  // Promises it this node's vote, if it may have it.
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
  std::chrono::milliseconds m_max_lease{0};
  MeshView m_view;
  bool m_is_store_reader = false;
  // Since when this node has had a version that is not the newest, or none, and
  // which; nothing: it has the newest that it knows of.
  std::optional<Clock::TimePoint> m_config_behind_since;
  std::uint64_t m_config_behind_version = 0;
  // How much longer than others this node waits before it reads the store.
  const std::chrono::milliseconds m_store_read_jitter;
  bool m_is_leaving = false;
  bool m_is_named_successor = false;
  // Of the stored record that was read last.
  std::uint64_t m_record_epoch = 0;
  // Whose process no longer exists that claimed the mesh for that epoch.
  std::optional<GoneLeader> m_gone_leader;
  std::uint64_t m_sequence = 0;
  // Since when a node's address refuses connections.
  std::map<std::string, Clock::TimePoint> m_refused_since;

  std::shared_ptr<MeshLeader> m_leader;
  // While this node leads.
  std::unique_ptr<ConfigDistributor> m_config_distributor;
  std::uint64_t m_record_end_position = 0;
  bool m_is_storing = false;
  // Until then replies say that this node gave up leading.
  Clock::TimePoint m_report_resigned_until;
  std::set<std::string> m_sharded_services;
  Clock::TimePoint m_last_announcement;
  std::uint64_t m_broadcast_version = 0;
  Clock::TimePoint m_last_broadcast;

  struct Waiter;
  // Heartbeats that the leader answers when there is news.
  std::set<std::shared_ptr<Waiter>> m_waiting_heartbeats;
  // What interrupts the pause between two of this node's own steps.
  std::shared_ptr<Waiter> m_current_pause;
  bool m_is_heartbeat_due = false;
  bool m_is_sending_urgent = false;
};

}  // namespace citrongrade
