#include "modules/transport/mesh/mesh_agent.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "modules/coordination/mesh/config_distributor.h"
#include "modules/coordination/mesh/election_delay.h"
#include "modules/coordination/mesh/mesh_leader.h"
#include "modules/protocol/malformed_message_error.h"
#include "modules/protocol/mesh_message_codec.h"
#include "modules/transport/async/async_connection_pool.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/mesh/config_follower.h"
#include "modules/transport/mesh/config_transfer.h"
#include "modules/transport/mesh/loop_monitor.h"
#include "modules/transport/mesh/mesh_store.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr const char* kHeartbeatPath = "/mesh/heartbeat";
constexpr const char* kVotePath = "/mesh/vote";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
// Timeout beyond the time for which the leader may hold its reply. A node gives
// up a frozen or lost leader after two such timeouts.
constexpr milliseconds kReplyTimeoutMargin{350};
constexpr milliseconds kVoteTimeout{250};
// Two candidates that ask for votes at the same time split them. A node without
// a view of the current epoch can't compute its turn, so it delays its campaign
// by its rank among the voters.
constexpr milliseconds kRankStep{25};
constexpr milliseconds kMaxRankDelay{200};
// Delay of a node with a leader fitness of 0; fitter nodes wait less.
constexpr milliseconds kMaxFitnessDelay{150};
// Minimum interval between broadcasts, for each node of the mesh. Answering all
// nodes of a large mesh takes the leader as long as many replies to the few
// nodes that a change concerns.
constexpr std::chrono::microseconds kBroadcastIntervalPerNode{1500};
constexpr milliseconds kDelayAfterFailure{120};
constexpr milliseconds kStepInterval{40};
constexpr milliseconds kStoreRetryDelay{120};
// A leader whose writes have failed for this long resigns if the store answers
// other nodes.
//
// Must be longer than a store reader's long poll plus its timeout. With a
// shorter time, in an outage of the store for all nodes, the reader would still
// count as having an answer, the leader would resign to it, and no node could
// claim the mesh.
constexpr milliseconds kStoreLossTimeout{2000};
// A node reads the store itself once its configuration has been outdated for
// kConfigBehindTimeout, or once it has had no leader for kLeaderlessTimeout; a
// new leader reads the store as well. Each node adds a random delay of up to
// kMaxStoreReadJitter, so that the nodes don't wait for each other's reads.
constexpr milliseconds kConfigBehindTimeout{1000};
constexpr milliseconds kLeaderlessTimeout{2000};
constexpr milliseconds kMaxStoreReadJitter{500};
constexpr milliseconds kAnnounceInterval{400};
constexpr milliseconds kMaxConnectionIdle{3000};
constexpr milliseconds kNoMajorityTimeout{1500};
// How long a resigned leader without a majority goes on before it follows
// another.
constexpr milliseconds kResignationGrace{100};
constexpr milliseconds kResignationNoticePeriod{1500};

}  // namespace

struct MeshAgent::Waiter {
  explicit Waiter(boost::asio::io_context& loop) : timer(loop) {}
  boost::asio::steady_timer timer;
  // The heartbeat that waits for a reply; nullptr for pauses of this node's own
  // loop.
  const Heartbeat* heartbeat = nullptr;
  // Set when a configuration source has been assigned to the heartbeat's node.
  std::string config_source;
};

struct MeshAgent::VoteRound {
  Clock::TimePoint asked_at;
  std::set<std::string> granted;
  std::string leader_hint;
  bool is_leader_gone = false;
  std::size_t pending = 0;
};

MeshAgent::MeshAgent(boost::asio::io_context& loop,
                     const Clock& clock,
                     const MeshTiming& timing,
                     Identity identity,
                     MeshStore& store,
                     ConfigFollower& config,
                     ConfigTransfer& transfer,
                     AsyncConnectionPool& peers,
                     LoopMonitor& monitor,
                     Listener& listener)
    : m_loop(loop),
      m_clock(clock),
      m_timing(timing),
      m_identity(std::move(identity)),
      m_store(store),
      m_config(config),
      m_transfer(transfer),
      m_peers(peers),
      m_monitor(monitor),
      m_listener(listener),
      m_random(std::random_device()()),
      m_incarnation(m_random()),
      m_vote_promise(clock, timing.vote_duration),
      m_leader_tracker(clock, timing.vote_duration),
      m_store_read_jitter(m_random() % kMaxStoreReadJitter.count()) {}

MeshAgent::~MeshAgent() = default;

void MeshAgent::Start() {
  boost::asio::co_spawn(m_loop, Run(), boost::asio::detached);
}

void MeshAgent::SetLeaving() {
  m_is_leaving = true;
  ResignBeforeLeaving();
  TriggerHeartbeat();
}

void MeshAgent::ResignBeforeLeaving() {
  // While the store is unavailable no other node can claim the mesh, and all
  // targets would stop when their leases end. So this node goes on leading for
  // as long as it may run.
  if (!m_leader || m_leader->has_resigned() || !m_config.is_store_answering())
    return;
  const std::string successor = m_leader->FindSuccessor();
  if (!successor.empty())
    Resign(successor, "leaving");
}

void MeshAgent::ResignToFitterLeader() {
  if (m_leader->has_resigned() || !m_config.is_store_answering())
    return;
  const std::string fitter_leader = m_leader->FindFitterLeader();
  if (!fitter_leader.empty())
    Resign(fitter_leader, "a fitter host is available");
}

void MeshAgent::Resign(const std::string& successor,
                       const std::string& reason) {
  spdlog::warn("event=resigns successor={} reason=\"{}\"", successor, reason);
  m_leader->Resign(successor);
  m_report_resigned_until = m_clock.Now() + kResignationNoticePeriod;
  AnswerWaitingHeartbeats();
}

void MeshAgent::SetShardedServices(std::set<std::string> services) {
  m_sharded_services = std::move(services);
  if (m_leader)
    m_leader->SetShardedServices(m_sharded_services);
}

void MeshAgent::OnEvacuations() {
  if (m_leader)
    m_leader->SetEvacuatedZones(m_config.evacuations().zones);
  // The leader may not know of it yet.
  if (should_read_store())
    TriggerHeartbeat();
}

bool MeshAgent::should_read_store() const {
  if (m_leader || m_is_store_reader ||
      TimeWithoutLeader() > kLeaderlessTimeout + m_store_read_jitter)
    return true;
  return m_config_behind_since &&
         m_clock.Now() - *m_config_behind_since >
             kConfigBehindTimeout + m_store_read_jitter;
}

std::uint64_t MeshAgent::ledger_evicted_count() const {
  return m_leader ? m_leader->crash_ledger().evicted_count() : 0;
}

Clock::Duration MeshAgent::TimeWithoutLeader() const {
  if (m_leader)
    return Clock::Duration(0);
  const Clock::Duration time_since_reply =
      m_leader_tracker.TimeSinceLeaderReply();
  return time_since_reply < m_timing.heartbeat_interval + kReplyTimeoutMargin
             ? Clock::Duration(0)
             : time_since_reply;
}

Task<> MeshAgent::Pause(milliseconds duration) {
  auto waiter = std::make_shared<Waiter>(m_loop);
  waiter->timer.expires_after(duration);
  m_current_pause = waiter;
  boost::system::error_code ignored;
  co_await waiter->timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  m_current_pause.reset();
}

void MeshAgent::TriggerHeartbeat() {
  m_is_heartbeat_due = true;
  if (m_current_pause)
    m_current_pause->timer.cancel();
  if (!m_leader && !m_is_sending_urgent && m_leader_tracker.is_following()) {
    m_is_sending_urgent = true;
    boost::asio::co_spawn(m_loop, SendUrgentHeartbeats(),
                          boost::asio::detached);
  }
}

Task<> MeshAgent::Run() {
  while (true) {
    bool has_failed = false;
    try {
      if (m_leader)
        co_await RunLeaderStep();
      else if (m_leader_tracker.is_following())
        co_await SendHeartbeat();
      else
        co_await FindLeader();
    } catch (const std::exception& error) {
      spdlog::error("event=mesh-step-failed reason=\"{}\"", error.what());
      has_failed = true;
    }
    if (has_failed)
      co_await Pause(kDelayAfterFailure);
  }
}

Task<std::string> MeshAgent::CallPeer(std::string peer,
                                      std::string target,
                                      std::string body,
                                      milliseconds timeout) {
  const HttpAddress address = HttpAddress::Parse(peer);
  HttpRequest request;
  request.method = "POST";
  request.target = std::move(target);
  request.body = std::move(body);
  const Clock::TimePoint started = m_clock.Now();
  auto connection = co_await m_peers.Acquire(address, kMaxConnectionIdle);
  const Clock::Duration left = timeout - (m_clock.Now() - started);
  HttpResponse response = co_await connection->Call(
      std::move(request), std::max<Clock::Duration>(left, milliseconds(1)));
  m_peers.Release(address, std::move(connection));
  if (response.head.status != kOk)
    throw MalformedMessageError(peer + " answered with status " +
                                std::to_string(response.head.status));
  co_return std::move(response.body);
}

Heartbeat MeshAgent::MakeHeartbeat(bool is_vote_promised) {
  Heartbeat heartbeat;
  heartbeat.address = m_identity.address;
  heartbeat.data_address = m_identity.data_address;
  heartbeat.zone = m_identity.zone;
  heartbeat.leader_fitness_milli = static_cast<std::uint32_t>(
      m_identity.leader_fitness * Heartbeat::kMaxLeaderFitnessMilli);
  heartbeat.incarnation = m_incarnation;
  heartbeat.sequence = ++m_sequence;
  heartbeat.is_vote_promised = is_vote_promised;
  heartbeat.leader_nonce = m_leader_nonce;
  heartbeat.leader_stamp_ns = m_leader_stamp_ns;
  heartbeat.epoch = m_view.epoch();
  heartbeat.view_version = m_view.version();
  heartbeat.config_version = m_config.version();
  heartbeat.is_leaving = m_is_leaving;
  heartbeat.is_store_answering = m_config.is_store_answering();
  heartbeat.is_fetching_config = m_transfer.is_fetching();
  heartbeat.config_fetch_failed = m_transfer.TakeHasFailed();
  heartbeat.config_age_ms = static_cast<std::uint32_t>(m_config.age().count());
  heartbeat.evacuations = m_config.evacuations();
  m_listener.FillHeartbeat(heartbeat);
  return heartbeat;
}

Task<> MeshAgent::SendUrgentHeartbeats() {
  while (m_is_heartbeat_due && !m_leader && m_leader_tracker.is_following()) {
    m_is_heartbeat_due = false;
    const std::string leader = m_leader_tracker.address();
    const bool is_vote_promised = TryPromiseVote(leader);
    Heartbeat heartbeat = MakeHeartbeat(is_vote_promised);
    heartbeat.is_urgent = true;
    const Clock::TimePoint sent = m_clock.Now();
    try {
      const std::string body = co_await CallPeer(
          leader, kHeartbeatPath, MeshMessageCodec::Encode(heartbeat),
          kReplyTimeoutMargin);
      HandleReply(DecodeReply(body), leader, sent);
    } catch (const std::exception& error) {
      // The next regular heartbeat repeats the information.
      spdlog::debug("event=urgent-heartbeat-failed leader={} reason=\"{}\"",
                    leader, error.what());
    }
  }
  m_is_sending_urgent = false;
}

Task<> MeshAgent::SendHeartbeat() {
  const std::string leader = m_leader_tracker.address();
  const Clock::TimePoint sent = m_clock.Now();
  const bool is_vote_promised = TryPromiseVote(leader);
  const Heartbeat heartbeat = MakeHeartbeat(is_vote_promised);
  std::string failure;
  try {
    const std::string body = co_await CallPeer(
        leader, kHeartbeatPath, MeshMessageCodec::Encode(heartbeat),
        m_timing.heartbeat_interval + kReplyTimeoutMargin);
    const HeartbeatReply reply = DecodeReply(body);
    m_refused_since.erase(leader);
    if (HandleReply(reply, leader, sent))
      co_return;
  } catch (const ConnectRefusedError& error) {
    // The leader's process is gone: it no longer leads, and doesn't count on
    // this node's vote.
    m_vote_promise.Release(leader);
    m_refused_since.try_emplace(leader, m_clock.Now());
    RecordLeaderGone(leader);
    spdlog::warn("event=leader-gone leader={}", leader);
    m_leader_tracker.OnConnectionRefused(leader);
    co_return;
  } catch (const std::exception& error) {
    failure = error.what();
  }
  if (!failure.empty()) {
    if (m_leader_tracker.OnTimeout(leader)) {
      spdlog::warn("event=leader-unanswered leader={} reason=\"{}\"", leader,
                   failure);
    }
    co_return;
  }
  // The node asked is not the leader, or not yet.
  co_await Pause(kStepInterval);
}

void MeshAgent::RecordLeaderGone(const std::string& leader) {
  m_gone_leader = GoneLeader{leader, m_record_epoch};
}

bool MeshAgent::IsLeaderGone(const MeshRecord& record) const {
  if (record.leader == m_identity.address)
    return true;
  return m_gone_leader && m_gone_leader->address == record.leader &&
         m_gone_leader->epoch == record.epoch;
}

bool MeshAgent::TryPromiseVote(const std::string& leader) {
  return m_leader_tracker.IsConfirmedLeader(leader) &&
         m_vote_promise.Promise(leader);
}

bool MeshAgent::HandleReply(const HeartbeatReply& reply,
                            const std::string& from,
                            Clock::TimePoint sent) {
  if (!reply.is_leader) {
    if (reply.has_resigned)
      m_vote_promise.Release(from);
    if (!m_leader_tracker.is_followed(from))
      return false;
    m_is_named_successor =
        reply.has_resigned && reply.leader_hint == m_identity.address;
    if (reply.is_new_process)
      RecordLeaderGone(from);
    if (m_is_named_successor)
      m_leader_tracker.Clear();
    else if (reply.is_new_process && reply.leader_hint.empty())
      m_leader_tracker.OnRestarted(from);
    else
      m_leader_tracker.OnNotLeading(from, reply.leader_hint);
    return false;
  }
  const LoopMonitor::ScopedTimer timer(m_monitor,
                                       LoopMonitor::Activity::kApplyView);
  // The sender is an old leader that hasn't learned of its successor yet.
  if (reply.view.epoch < m_view.epoch()) {
    m_leader_tracker.OnDeposed(from);
    return false;
  }
  if (from != m_identity.address)
    m_leader_tracker.OnLeaderReply(from);
  m_leader_nonce = reply.nonce;
  m_leader_stamp_ns = reply.stamp_ns;
  m_is_store_reader = reply.reads_store;
  m_max_lease = std::max(m_max_lease, milliseconds(reply.max_lease_ms));
  if (reply.lease_ms > 0)
    m_lease_until =
        std::max(m_lease_until, sent + milliseconds(reply.lease_ms));
  UpdateConfigState(reply);
  const bool has_view_changes = !reply.view.is_empty();
  m_view.Apply(reply.view);
  m_view_as_of = std::max(m_view_as_of, sent);
  // The listener gets the view before the reply with the new lease: with the
  // lease first, it could keep keys that the view has taken from this node.
  if (has_view_changes)
    m_listener.OnViewChanged();
  m_listener.OnReply(reply);
  return true;
}

void MeshAgent::UpdateConfigState(const HeartbeatReply& reply) {
  m_config.OnVersionReported(reply.config_version,
                             milliseconds(reply.config_age_ms));
  m_config.MergeEvacuations(reply.evacuations);
  const std::uint64_t version = m_config.version();
  if (version > 0 && version >= m_config.newest_known()) {
    m_config_behind_since.reset();
  } else if (!m_config_behind_since || m_config_behind_version != version) {
    m_config_behind_since = m_clock.Now();
    m_config_behind_version = version;
  }
  // When the fetch ends, an immediate heartbeat tells the leader that this node
  // can serve as a source.
  if (!reply.config_source.empty())
    m_transfer.FetchFrom(reply.config_source, [this] { TriggerHeartbeat(); });
}

HeartbeatReply MeshAgent::MakeReply(const Heartbeat& heartbeat,
                                    const std::string& config_source) {
  if (!m_leader) {
    HeartbeatReply reply;
    reply.leader_hint = m_leader_tracker.is_following()
                            ? m_leader_tracker.address()
                            : m_vote_promise.holder();
    // Reported for a while: a voter that missed the resignation would otherwise
    // keep its promise to this node.
    reply.has_resigned = m_clock.Now() < m_report_resigned_until;
    reply.is_new_process = m_vote_promise.is_abstaining();
    if (reply.leader_hint == heartbeat.address && !reply.has_resigned)
      reply.leader_hint.clear();
    return reply;
  }
  HeartbeatReply reply = m_leader->MakeReply(heartbeat);
  reply.config_version = m_config.newest_known();
  reply.config_age_ms = static_cast<std::uint32_t>(m_config.age().count());
  reply.config_source = config_source;
  reply.evacuations = m_config.evacuations();
  return reply;
}

Task<HttpResponse> MeshAgent::Handle(HttpRequest request,
                                     RequestContext& /*context*/) {
  try {
    if (request.target == kHeartbeatPath)
      co_return co_await HandleHeartbeat(request);
    if (request.target == kVotePath)
      co_return HandleVote(request);
    if (request.target == ConfigTransfer::kPath)
      co_return m_transfer.HandleRequest(request);
  } catch (const MalformedMessageError& error) {
    spdlog::warn("event=peer-message-unreadable target={} reason=\"{}\"",
                 request.target, error.what());
    co_return HttpResponse::WithStatus(kBadRequest, error.what());
  }
  co_return HttpResponse::WithStatus(kNotFound);
}

Task<HttpResponse> MeshAgent::HandleHeartbeat(const HttpRequest& request) {
  const Heartbeat heartbeat = ProcessHeartbeat(request.body);
  std::string config_source;
  if (m_leader) {
    config_source = m_config_distributor->AssignSource(heartbeat.address);
    if (config_source.empty() && !m_leader->NeedsImmediateReply(heartbeat)) {
      auto waiter = std::make_shared<Waiter>(m_loop);
      waiter->heartbeat = &heartbeat;
      waiter->timer.expires_after(m_timing.heartbeat_interval);
      m_waiting_heartbeats.insert(waiter);
      boost::system::error_code ignored;
      co_await waiter->timer.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
      m_waiting_heartbeats.erase(waiter);
      config_source = waiter->config_source;
    }
  }
  co_return MakeHeartbeatResponse(heartbeat, config_source);
}

Heartbeat MeshAgent::ProcessHeartbeat(const std::string& bytes) {
  const LoopMonitor::ScopedTimer timer(m_monitor,
                                       LoopMonitor::Activity::kAnswerHeartbeat);
  Heartbeat heartbeat = MeshMessageCodec::DecodeHeartbeat(bytes);
  if (m_leader && heartbeat.epoch > m_leader->view().epoch())
    StepDown("deposed");
  if (!m_leader)
    return heartbeat;
  m_leader->OnHeartbeat(heartbeat);
  m_config_distributor->OnHeartbeat(heartbeat);
  m_config.MergeEvacuations(heartbeat.evacuations);
  m_config.OnVersionReported(heartbeat.config_version,
                             milliseconds(heartbeat.config_age_ms));
  if (heartbeat.is_urgent)
    TriggerHeartbeat();
  return heartbeat;
}

HttpResponse MeshAgent::MakeHeartbeatResponse(
    const Heartbeat& heartbeat,
    const std::string& config_source) {
  const LoopMonitor::ScopedTimer timer(m_monitor,
                                       LoopMonitor::Activity::kAnswerHeartbeat);
  return HttpResponse::WithStatus(
      kOk, MeshMessageCodec::Encode(MakeReply(heartbeat, config_source)));
}

HeartbeatReply MeshAgent::DecodeReply(const std::string& bytes) {
  const LoopMonitor::ScopedTimer timer(m_monitor,
                                       LoopMonitor::Activity::kApplyView);
  return MeshMessageCodec::DecodeHeartbeatReply(bytes);
}

MeshRecord MeshAgent::DecodeRecord(const std::string& bytes) {
  const LoopMonitor::ScopedTimer timer(m_monitor,
                                       LoopMonitor::Activity::kMeshRecord);
  return MeshMessageCodec::DecodeRecord(bytes);
}

std::string MeshAgent::EncodeRecord(const MeshRecord& record) {
  const LoopMonitor::ScopedTimer timer(m_monitor,
                                       LoopMonitor::Activity::kMeshRecord);
  return MeshMessageCodec::Encode(record);
}

void MeshAgent::TickLeader(MeshLeader& leader) {
  const LoopMonitor::ScopedTimer timer(m_monitor, LoopMonitor::Activity::kPlan);
  leader.Tick();
}

std::optional<MeshRecord> MeshAgent::RecordToStore(MeshLeader& leader) {
  const LoopMonitor::ScopedTimer timer(m_monitor, LoopMonitor::Activity::kPlan);
  return leader.RecordToStore();
}

void MeshAgent::NotifyStored(MeshLeader& leader) {
  const LoopMonitor::ScopedTimer timer(m_monitor, LoopMonitor::Activity::kPlan);
  leader.OnStored();
}

HttpResponse MeshAgent::HandleVote(const HttpRequest& request) {
  const VoteRequest vote = MeshMessageCodec::DecodeVoteRequest(request.body);
  VoteReply reply;
  if (vote.returns_vote) {
    m_vote_promise.Release(vote.candidate);
    if (m_leader_tracker.is_followed(vote.candidate))
      m_leader_tracker.Clear();
  } else if (vote.is_leader_announcement) {
    if (!m_leader && !m_leader_tracker.is_following())
      m_leader_tracker.Follow(vote.candidate);
    if (m_current_pause)
      m_current_pause->timer.cancel();
  } else if (!m_leader || m_leader->has_resigned()) {
    reply.is_granted =
        m_vote_promise.Promise(vote.candidate, vote.is_previous_leader_gone);
    reply.leader_hint = m_vote_promise.holder();
    if (reply.is_granted)
      spdlog::info("event=vote-promised candidate={}", vote.candidate);
  } else {
    reply.leader_hint = m_identity.address;
  }
  return HttpResponse::WithStatus(kOk, MeshMessageCodec::Encode(reply));
}

Task<> MeshAgent::FindLeader() {
  const std::string holder = m_vote_promise.holder();
  if (!holder.empty() && holder != m_identity.address &&
      !m_leader_tracker.HasRecentlyFailed(holder)) {
    m_leader_tracker.Follow(holder);
    co_return;
  }
  if (m_is_leaving) {
    co_await Pause(kDelayAfterFailure);
    co_return;
  }
  MeshStore::StoredRecord stored;
  std::string failure;
  try {
    stored = co_await m_store.ReadRecord();
  } catch (const StoreError& error) {
    failure = error.what();
  }
  if (m_leader_tracker.is_following())
    co_return;
  if (!failure.empty()) {
    spdlog::warn("event=mesh-record-unread reason=\"{}\"", failure);
    co_await Pause(kDelayAfterFailure);
    co_return;
  }
  if (!stored.bytes) {
    co_await ClaimNewMesh(stored.end_position);
    co_return;
  }
  const MeshRecord record = DecodeRecord(*stored.bytes);
  m_record_epoch = record.epoch;
  m_listener.OnRecordRead(record);
  if (record.leader != m_identity.address &&
      !m_leader_tracker.HasRecentlyFailed(record.leader) &&
      !m_is_named_successor) {
    m_leader_tracker.Follow(record.leader);
    co_return;
  }
  co_await Campaign(record, stored.end_position,
                    std::exchange(m_is_named_successor, false));
}

milliseconds MeshAgent::FitnessDelay() {
  const double deficit = 1 - m_identity.leader_fitness;
  return milliseconds(
             static_cast<std::int64_t>(deficit * kMaxFitnessDelay.count())) +
         milliseconds(m_random() % kRankStep.count());
}

milliseconds MeshAgent::CampaignDelay(const MeshRecord& record) {
  if (m_view.epoch() == record.epoch) {
    return ElectionDelay(m_view, record.leader, record.epoch)
        .DelayFor(m_identity.address, m_random());
  }
  std::size_t rank = 0;
  const auto tie_break = [&record](const std::string& address) {
    return ElectionDelay::TieBreakHash(address, record.epoch);
  };
  for (const std::string& voter : record.voters)
    rank += tie_break(voter) < tie_break(m_identity.address) ? 1 : 0;
  return std::min(kMaxRankDelay, kRankStep * static_cast<int>(rank)) +
         FitnessDelay();
}

Task<> MeshAgent::ClaimNewMesh(std::uint64_t end_position) {
  co_await Pause(FitnessDelay());
  MeshRecord record;
  record.voters = {m_identity.address};
  if (co_await ClaimLeadership(record, end_position))
    co_return;
  co_await Pause(kStepInterval);
}

Task<bool> MeshAgent::ClaimLeadership(MeshRecord record,
                                      std::uint64_t end_position) {
  ++record.epoch;
  record.leader = m_identity.address;
  const std::string bytes = EncodeRecord(record);
  try {
    m_record_end_position = co_await m_store.WriteRecord(bytes, end_position);
  } catch (const StoreRefusedError& error) {
    spdlog::info("event=claim-refused epoch={} reason=\"{}\"", record.epoch,
                 error.what());
    co_return false;
  } catch (const StoreError& error) {
    spdlog::warn("event=claim-unanswered epoch={} reason=\"{}\"", record.epoch,
                 error.what());
    co_return false;
  }
  BecomeLeader(record);
  co_return true;
}

void MeshAgent::BecomeLeader(const MeshRecord& record) {
  spdlog::info("event=leads epoch={} voters={} services={}", record.epoch,
               record.voters.size(), record.tables.size());
  const std::uint64_t nonce = m_random();
  m_leader = std::make_shared<MeshLeader>(m_clock, m_timing, m_identity.address,
                                          nonce, record);
  m_leader->SetShardedServices(m_sharded_services);
  m_leader->SetEvacuatedZones(m_config.evacuations().zones);
  m_config_distributor = std::make_unique<ConfigDistributor>(m_clock);
  m_leader_tracker.Clear();
  m_leader_tracker.OnOwnLeadership();
  m_is_storing = false;
  m_broadcast_version = 0;
}

void MeshAgent::StepDown(const char* reason) {
  spdlog::warn("event=leads-no-more reason={}", reason);
  m_vote_promise.Release(m_identity.address);
  m_leader_tracker.OnOwnLeadership();
  const std::string successor = m_leader->FindSuccessor();
  if (m_leader->has_resigned() && !successor.empty())
    m_leader_tracker.Follow(successor);
  m_leader.reset();
  m_config_distributor.reset();
  AnswerWaitingHeartbeats();
}

Task<> MeshAgent::RequestVote(std::string voter,
                              std::shared_ptr<VoteRound> round) {
  VoteRequest request;
  request.candidate = m_identity.address;
  request.is_previous_leader_gone = round->is_leader_gone;
  try {
    const std::string body = co_await CallPeer(
        voter, kVotePath, MeshMessageCodec::Encode(request), kVoteTimeout);
    m_refused_since.erase(voter);
    const VoteReply reply = MeshMessageCodec::DecodeVoteReply(body);
    if (reply.is_granted)
      round->granted.insert(voter);
    else if (!reply.leader_hint.empty())
      round->leader_hint = reply.leader_hint;
  } catch (const ConnectRefusedError&) {
    // The voter's process is gone. Any promise of that process ends within one
    // vote duration, and a new process at its address abstains for as long, so
    // after that time its vote counts as granted.
    const auto since =
        m_refused_since.try_emplace(voter, m_clock.Now()).first->second;
    if (m_clock.Now() - since > m_timing.vote_duration)
      round->granted.insert(voter);
  } catch (const std::exception& error) {
    m_refused_since.erase(voter);
    spdlog::debug("event=vote-unanswered voter={} reason=\"{}\"", voter,
                  error.what());
  }
  --round->pending;
  if (round->pending == 0 && m_current_pause)
    m_current_pause->timer.cancel();
}

void MeshAgent::ReleaseVotes(const VoteRound& round) {
  // Sent concurrently, and not awaited. Released one after the other over
  // congested links, the fittest candidate couldn't ask again until the
  // promises had expired.
  for (const std::string& voter : round.granted) {
    if (voter != m_identity.address)
      boost::asio::co_spawn(m_loop, ReleaseVote(voter), boost::asio::detached);
  }
}

Task<> MeshAgent::ReleaseVote(std::string voter) {
  VoteRequest request;
  request.candidate = m_identity.address;
  request.returns_vote = true;
  try {
    co_await CallPeer(voter, kVotePath, MeshMessageCodec::Encode(request),
                      kVoteTimeout);
  } catch (const std::exception& error) {
    // The promise expires by itself.
    spdlog::debug("event=vote-not-given-back voter={} reason=\"{}\"", voter,
                  error.what());
  }
}

Task<> MeshAgent::Campaign(MeshRecord record,
                           std::uint64_t end_position,
                           bool is_named_successor) {
  const bool is_leader_gone = IsLeaderGone(record);
  if (m_vote_promise.is_abstaining() && !is_leader_gone) {
    co_await Pause(kDelayAfterFailure);
    co_return;
  }
  if (!is_named_successor) {
    const milliseconds delay = CampaignDelay(record);
    co_await Pause(delay);
  }
  if (m_leader_tracker.is_following() ||
      !m_vote_promise.Promise(m_identity.address, is_leader_gone))
    co_return;
  auto round = std::make_shared<VoteRound>();
  round->is_leader_gone = is_leader_gone;
  round->asked_at = m_clock.Now();
  for (const std::string& voter : record.voters) {
    if (voter == m_identity.address) {
      round->granted.insert(voter);
      continue;
    }
    ++round->pending;
    boost::asio::co_spawn(m_loop, RequestVote(voter, round),
                          boost::asio::detached);
  }
  const Clock::TimePoint give_up_at =
      m_clock.Now() + kVoteTimeout + kStepInterval;
  const std::size_t needed = record.voters.size() / 2 + 1;
  while (round->pending > 0 && round->granted.size() < needed &&
         m_clock.Now() < give_up_at)
    co_await Pause(milliseconds(10));
  spdlog::info("event=campaign epoch={} votes={} needed={}", record.epoch + 1,
               round->granted.size(), needed);
  if (round->granted.size() >= needed &&
      co_await ClaimLeadership(record, end_position)) {
    for (const std::string& voter : round->granted)
      m_leader->OnVote(voter, round->asked_at);
    co_return;
  }
  m_vote_promise.Release(m_identity.address);
  ReleaseVotes(*round);
  if (!round->leader_hint.empty() && round->leader_hint != m_identity.address &&
      !m_leader_tracker.HasRecentlyFailed(round->leader_hint)) {
    m_leader_tracker.Follow(round->leader_hint);
  }
  co_await Pause(kDelayAfterFailure +
                 milliseconds(m_random() % kDelayAfterFailure.count()));
}

Task<> MeshAgent::RunLeaderStep() {
  const std::shared_ptr<MeshLeader> leader = m_leader;
  if (m_is_leaving)
    ResignBeforeLeaving();
  m_vote_promise.Promise(m_identity.address);
  const Clock::TimePoint now = m_clock.Now();
  const Heartbeat heartbeat = MakeHeartbeat(false);
  leader->OnHeartbeat(heartbeat);
  m_config_distributor->OnHeartbeat(heartbeat);
  TickLeader(*leader);
  if (leader->HasAuthority())
    m_leader_tracker.OnOwnLeadership();
  const std::string config_source =
      m_config_distributor->AssignSource(m_identity.address);
  HandleReply(MakeReply(heartbeat, config_source), m_identity.address, now);
  if (m_leader != leader)
    co_return;
  ResignToFitterLeader();
  if (leader->has_resigned() &&
      m_leader_tracker.TimeSinceLeaderReply() > kResignationGrace) {
    StepDown("resigned");
    co_return;
  }
  // While the store is unavailable no other node can claim the mesh. So this
  // node goes on, and leads again once most nodes are back.
  if (m_leader_tracker.TimeSinceLeaderReply() > kNoMajorityTimeout &&
      m_config.is_store_answering()) {
    StepDown("no-majority");
    co_return;
  }
  if (!m_is_storing) {
    if (auto record = RecordToStore(*leader)) {
      m_is_storing = true;
      boost::asio::co_spawn(m_loop, StoreRecord(std::move(*record), leader),
                            boost::asio::detached);
    }
  }
  AnswerWaitingHeartbeats();
  if (now - m_last_announcement > kAnnounceInterval) {
    m_last_announcement = now;
    for (const std::string& node : leader->MissingVoters())
      boost::asio::co_spawn(m_loop, AnnounceLeadership(node),
                            boost::asio::detached);
  }
  m_is_heartbeat_due = false;
  co_await Pause(kStepInterval);
}

Task<> MeshAgent::AnnounceLeadership(std::string node) {
  VoteRequest request;
  request.candidate = m_identity.address;
  request.is_leader_announcement = true;
  try {
    co_await CallPeer(node, kVotePath, MeshMessageCodec::Encode(request),
                      kVoteTimeout);
  } catch (const std::exception& error) {
    spdlog::debug("event=hello-unanswered node={} reason=\"{}\"", node,
                  error.what());
  }
}

Task<bool> MeshAgent::TryStoreRecord(
    const std::string& bytes,
    const std::shared_ptr<MeshLeader>& leader) {
  try {
    m_record_end_position =
        co_await m_store.WriteRecord(bytes, m_record_end_position);
    m_config.OnStoreAnswered();
    NotifyStored(*leader);
    co_return true;
  } catch (const StoreConflictError&) {
    // Handled below, since a catch block can't co_await.
  }
  // Either an earlier attempt of this write took effect without an answer, or
  // another node has claimed the mesh.
  const MeshStore::StoredRecord stored = co_await m_store.ReadRecord();
  if (stored.bytes && *stored.bytes == bytes) {
    m_record_end_position = stored.end_position;
    NotifyStored(*leader);
    co_return true;
  }
  if (stored.bytes) {
    const MeshRecord record = DecodeRecord(*stored.bytes);
    if (record.leader != m_identity.address ||
        record.epoch != leader->view().epoch()) {
      if (m_leader == leader)
        StepDown("another-leader-claimed");
      co_return true;
    }
  }
  m_record_end_position = stored.end_position;
  co_return false;
}

Task<> MeshAgent::StoreRecord(MeshRecord record,
                              std::shared_ptr<MeshLeader> leader) {
  const std::string bytes = EncodeRecord(record);
  const Clock::TimePoint started = m_clock.Now();
  bool is_done = false;
  while (!is_done && m_leader == leader) {
    std::string failure;
    try {
      is_done = co_await TryStoreRecord(bytes, leader);
    } catch (const StoreError& error) {
      failure = error.what();
    }
    if (is_done || m_leader != leader)
      break;
    const std::string successor = leader->FindSuccessor();
    if (!failure.empty() && m_clock.Now() - started > kStoreLossTimeout &&
        leader->CanSuccessorReachStore() && !leader->has_resigned()) {
      Resign(successor, failure);
    }
    boost::asio::steady_timer timer(m_loop, kStoreRetryDelay);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  if (m_leader != leader)
    co_return;
  m_is_storing = false;
  AnswerWaitingHeartbeats();
  // Ends the pause, so that this node applies the stored changes itself at
  // once.
  if (m_current_pause)
    m_current_pause->timer.cancel();
}

void MeshAgent::AnswerWaitingHeartbeats() {
  bool is_broadcast = true;
  if (m_leader && !m_leader->has_resigned()) {
    const std::uint64_t version = m_leader->view().version();
    const Clock::TimePoint now = m_clock.Now();
    is_broadcast = version != m_broadcast_version &&
                   now - m_last_broadcast >=
                       kBroadcastIntervalPerNode * m_leader->node_count();
    if (is_broadcast) {
      m_last_broadcast = now;
      m_broadcast_version = version;
    }
  }
  for (const std::shared_ptr<Waiter>& waiter : m_waiting_heartbeats) {
    const bool is_behind = m_leader && waiter->heartbeat->config_version <
                                           m_config_distributor->newest();
    if (is_behind && waiter->config_source.empty()) {
      waiter->config_source =
          m_config_distributor->AssignSource(waiter->heartbeat->address);
    }
    if (is_broadcast || !waiter->config_source.empty() ||
        m_leader->NeedsImmediateReply(*waiter->heartbeat))
      waiter->timer.cancel();
  }
}

}  // namespace citrongrade
