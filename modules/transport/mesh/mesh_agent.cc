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

#include "modules/coordination/mesh/campaign_turn.h"
#include "modules/coordination/mesh/config_spread.h"
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
// Beyond the time for which the leader may hold its answer: a frozen or lost
// leader is given up after two of these.
constexpr milliseconds kAnswerSlack{350};
constexpr milliseconds kVoteTimeout{250};
// Two nodes that campaign at once split the votes; without a view that says
// whose turn it is they start apart by rank.
constexpr milliseconds kRankStep{25};
constexpr milliseconds kLongestRankDelay{200};
// How long a node without any merit stands back for others.
constexpr milliseconds kMeritDelay{150};
// News for all is told at most this often for each node: an answer to all of a
// large mesh takes a leader as long as many answers to the few concerned.
constexpr std::chrono::microseconds kNewsPause{1500};
constexpr milliseconds kPauseAfterFailure{120};
constexpr milliseconds kLeaderStep{40};
constexpr milliseconds kStoreRetry{120};
// A leader whose writes fail for so long gives up if the store answers others.
// Longer than the other reader's wait for news and its timeout: in an outage
// for all it would still be said to have an answer, and nobody could lead then.
constexpr milliseconds kStoreLost{2000};
// A node that no source has brought a configuration by then reads the store, or
// one without a leader for so long: the next leader reads it as well. Not all
// at the same moment: together they would wait for its reads.
constexpr milliseconds kShortestBehind{1000};
constexpr milliseconds kLongestLeaderless{2000};
constexpr milliseconds kLongestPatience{500};
constexpr milliseconds kHelloEvery{400};
constexpr milliseconds kPeerIdle{3000};
constexpr milliseconds kNoAuthority{1500};
// How long a leader that has resigned goes on before it follows another.
constexpr milliseconds kResigned{100};
constexpr milliseconds kResignationTold{1500};

}  // namespace

struct MeshAgent::Waiting {
  explicit Waiting(boost::asio::io_context& loop) : timer(loop) {}
  boost::asio::steady_timer timer;
  // The one that waits for an answer; nothing for this node's own pauses.
  const Heartbeat* heartbeat = nullptr;
  // Named to it once there is one.
  std::string config_source;
};

struct MeshAgent::VoteCount {
  Clock::TimePoint asked;
  std::set<std::string> granted;
  std::string leader_hint;
  bool is_leader_gone = false;
  std::size_t open = 0;
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
      m_promise(clock, timing.promise),
      m_tracker(clock, timing.promise),
      m_patience(m_random() % kLongestPatience.count()) {}

MeshAgent::~MeshAgent() = default;

void MeshAgent::Start() {
  boost::asio::co_spawn(m_loop, Run(), boost::asio::detached);
}

void MeshAgent::SetLeaving() {
  m_is_leaving = true;
  ResignToLeave();
  Urge();
}

void MeshAgent::ResignToLeave() {
  // While the store is away nobody can take over, and all owners would stop
  // with their leases: this node leads on for as long as it may still run.
  if (!m_leader || m_leader->has_resigned() || !m_config.store_answers())
    return;
  const std::string successor = m_leader->FindSuccessor();
  if (!successor.empty())
    Resign(successor, "leaving");
}

void MeshAgent::ResignToFitter() {
  if (m_leader->has_resigned() || !m_config.store_answers())
    return;
  const std::string fitter = m_leader->FindFitter();
  if (!fitter.empty())
    Resign(fitter, "a fitter host");
}

void MeshAgent::Resign(const std::string& successor, const std::string& why) {
  spdlog::warn("event=resigns successor={} reason=\"{}\"", successor, why);
  m_leader->Resign(successor);
  m_resigned_until = m_clock.Now() + kResignationTold;
  NotifyWaiting();
}

void MeshAgent::SetDividedServices(std::set<std::string> services) {
  m_divided_services = std::move(services);
  if (m_leader)
    m_leader->SetDividedServices(m_divided_services);
}

bool MeshAgent::follows_store() const {
  if (m_leader || m_follow_store ||
      TimeWithoutLeader() > kLongestLeaderless + m_patience)
    return true;
  return m_behind_since &&
         m_clock.Now() - *m_behind_since > kShortestBehind + m_patience;
}

Clock::Duration MeshAgent::TimeWithoutLeader() const {
  if (m_leader)
    return Clock::Duration(0);
  const Clock::Duration silence = m_tracker.TimeWithoutLeader();
  return silence < m_timing.heartbeat + kAnswerSlack ? Clock::Duration(0)
                                                     : silence;
}

Task<> MeshAgent::Pause(milliseconds duration) {
  auto waiting = std::make_shared<Waiting>(m_loop);
  waiting->timer.expires_after(duration);
  m_pausing = waiting;
  boost::system::error_code ignored;
  co_await waiting->timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  m_pausing.reset();
}

void MeshAgent::Urge() {
  m_is_urged = true;
  if (m_pausing)
    m_pausing->timer.cancel();
  if (!m_leader && !m_is_urgent_running && m_tracker.is_following()) {
    m_is_urgent_running = true;
    boost::asio::co_spawn(m_loop, RunUrgent(), boost::asio::detached);
  }
}

Task<> MeshAgent::Run() {
  while (true) {
    bool has_failed = false;
    try {
      if (m_leader)
        co_await LeadOnce();
      else if (m_tracker.is_following())
        co_await HeartbeatOnce();
      else
        co_await FindLeader();
    } catch (const std::exception& error) {
      spdlog::error("event=mesh-step-failed reason=\"{}\"", error.what());
      has_failed = true;
    }
    if (has_failed)
      co_await Pause(kPauseAfterFailure);
  }
}

Task<std::string> MeshAgent::Ask(std::string peer,
                                 std::string target,
                                 std::string body,
                                 milliseconds timeout) {
  const HttpAddress address = HttpAddress::Parse(peer);
  HttpRequest request;
  request.method = "POST";
  request.target = std::move(target);
  request.body = std::move(body);
  const Clock::TimePoint started = m_clock.Now();
  auto connection = co_await m_peers.Take(address, kPeerIdle);
  const Clock::Duration left = timeout - (m_clock.Now() - started);
  HttpResponse response = co_await connection->Call(
      std::move(request), std::max<Clock::Duration>(left, milliseconds(1)));
  m_peers.GiveBack(address, std::move(connection));
  if (response.head.status != kOk)
    throw MalformedMessageError(peer + " answered " +
                                std::to_string(response.head.status));
  co_return std::move(response.body);
}

Heartbeat MeshAgent::Compose(bool promises) {
  Heartbeat heartbeat;
  heartbeat.address = m_identity.address;
  heartbeat.data_address = m_identity.data_address;
  heartbeat.zone = m_identity.zone;
  heartbeat.leader_merit_milli = static_cast<std::uint32_t>(
      m_identity.leader_merit * Heartbeat::kFullMeritMilli);
  heartbeat.incarnation = m_incarnation;
  heartbeat.sequence = ++m_sequence;
  heartbeat.promises = promises;
  heartbeat.leader_nonce = m_leader_nonce;
  heartbeat.leader_stamp_ns = m_leader_stamp_ns;
  heartbeat.epoch = m_view.epoch();
  heartbeat.view_version = m_view.version();
  heartbeat.config_version = m_config.version();
  heartbeat.is_leaving = m_is_leaving;
  heartbeat.store_answers = m_config.store_answers();
  heartbeat.is_fetching_config = m_transfer.is_fetching();
  heartbeat.config_fetch_failed = m_transfer.TakeFailure();
  heartbeat.config_age_ms = static_cast<std::uint32_t>(m_config.age().count());
  m_listener.FillHeartbeat(heartbeat);
  return heartbeat;
}

Task<> MeshAgent::RunUrgent() {
  while (m_is_urged && !m_leader && m_tracker.is_following()) {
    m_is_urged = false;
    const std::string leader = m_tracker.address();
    const bool promises = PromiseTo(leader);
    Heartbeat heartbeat = Compose(promises);
    heartbeat.is_urgent = true;
    const Clock::TimePoint sent = m_clock.Now();
    try {
      const std::string body =
          co_await Ask(leader, kHeartbeatPath,
                       MeshMessageCodec::Encode(heartbeat), kAnswerSlack);
      OnReply(DecodeReply(body), leader, sent);
    } catch (const std::exception& error) {
      // The regular heartbeat says it again.
      spdlog::debug("event=urgent-heartbeat-failed leader={} reason=\"{}\"",
                    leader, error.what());
    }
  }
  m_is_urgent_running = false;
}

Task<> MeshAgent::HeartbeatOnce() {
  const std::string leader = m_tracker.address();
  const Clock::TimePoint sent = m_clock.Now();
  const bool promises = PromiseTo(leader);
  const Heartbeat heartbeat = Compose(promises);
  std::string failure;
  try {
    const std::string body = co_await Ask(leader, kHeartbeatPath,
                                          MeshMessageCodec::Encode(heartbeat),
                                          m_timing.heartbeat + kAnswerSlack);
    const HeartbeatReply reply = DecodeReply(body);
    m_refused_since.erase(leader);
    if (OnReply(reply, leader, sent))
      co_return;
  } catch (const ConnectRefusedError& error) {
    // Its process is gone: it leads nobody, and counts on no vote.
    m_promise.GiveBack(leader);
    m_refused_since.try_emplace(leader, m_clock.Now());
    NoteGone(leader);
    spdlog::warn("event=leader-gone leader={}", leader);
    m_tracker.OnRefused(leader);
    co_return;
  } catch (const std::exception& error) {
    failure = error.what();
  }
  if (!failure.empty()) {
    if (m_tracker.OnUnanswered(leader)) {
      spdlog::warn("event=leader-unanswered leader={} reason=\"{}\"", leader,
                   failure);
    }
    co_return;
  }
  // Whoever was asked does not lead, or does not yet.
  co_await Pause(kLeaderStep);
}

void MeshAgent::NoteGone(const std::string& leader) {
  m_gone_leader = GoneLeader{leader, m_record_epoch};
}

bool MeshAgent::IsGone(const MeshRecord& record) const {
  if (record.leader == m_identity.address)
    return true;
  return m_gone_leader && m_gone_leader->address == record.leader &&
         m_gone_leader->epoch == record.epoch;
}

bool MeshAgent::PromiseTo(const std::string& leader) {
  return m_tracker.MayBePromised(leader) && m_promise.Grant(leader);
}

bool MeshAgent::OnReply(const HeartbeatReply& reply,
                        const std::string& from,
                        Clock::TimePoint sent) {
  if (!reply.is_leader) {
    if (reply.has_resigned)
      m_promise.GiveBack(from);
    if (!m_tracker.is_followed(from))
      return false;
    m_was_named = reply.has_resigned && reply.leader_hint == m_identity.address;
    if (reply.is_new_process)
      NoteGone(from);
    if (m_was_named)
      m_tracker.Forget();
    else if (reply.is_new_process && reply.leader_hint.empty())
      m_tracker.OnNewProcess(from);
    else
      m_tracker.OnNotLeading(from, reply.leader_hint);
    return false;
  }
  const LoopMonitor::Section section(m_monitor,
                                     LoopMonitor::Activity::kTakeView);
  // An old leader that does not know of its successor yet.
  if (reply.view.epoch < m_view.epoch()) {
    m_tracker.OnDeposed(from);
    return false;
  }
  if (from != m_identity.address)
    m_tracker.OnAnswered(from);
  m_leader_nonce = reply.nonce;
  m_leader_stamp_ns = reply.stamp_ns;
  m_follow_store = reply.follow_store;
  m_longest_lease =
      std::max(m_longest_lease, milliseconds(reply.longest_lease_ms));
  if (reply.lease_ms > 0)
    m_lease_until =
        std::max(m_lease_until, sent + milliseconds(reply.lease_ms));
  TakeConfigNews(reply);
  const bool is_news = !reply.view.is_empty();
  m_view.Apply(reply.view);
  // First what the node has lost: with the new lease it could hold on to it.
  if (is_news)
    m_listener.OnViewChanged();
  m_listener.OnReply(reply);
  return true;
}

void MeshAgent::TakeConfigNews(const HeartbeatReply& reply) {
  m_config.OnHeard(reply.config_version, milliseconds(reply.config_age_ms));
  const std::uint64_t version = m_config.version();
  if (version > 0 && version >= m_config.newest_known()) {
    m_behind_since.reset();
  } else if (!m_behind_since || m_behind_with != version) {
    m_behind_since = m_clock.Now();
    m_behind_with = version;
  }
  // The leader should hear at once that this node can be a source.
  if (!reply.config_source.empty())
    m_transfer.FetchFrom(reply.config_source, [this] { Urge(); });
}

HeartbeatReply MeshAgent::Reply(const Heartbeat& heartbeat,
                                const std::string& config_source) {
  if (!m_leader) {
    HeartbeatReply reply;
    reply.leader_hint =
        m_tracker.is_following() ? m_tracker.address() : m_promise.holder();
    // A voter that missed the resignation would keep its promise.
    reply.has_resigned = m_clock.Now() < m_resigned_until;
    reply.is_new_process = m_promise.is_abstaining();
    if (reply.leader_hint == heartbeat.address && !reply.has_resigned)
      reply.leader_hint.clear();
    return reply;
  }
  HeartbeatReply reply = m_leader->MakeReply(heartbeat);
  reply.config_version = m_config.newest_known();
  reply.config_age_ms = static_cast<std::uint32_t>(m_config.age().count());
  reply.config_source = config_source;
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
      co_return m_transfer.Answer(request);
  } catch (const MalformedMessageError& error) {
    spdlog::warn("event=peer-message-unreadable target={} reason=\"{}\"",
                 request.target, error.what());
    co_return HttpResponse::WithStatus(kBadRequest, error.what());
  }
  co_return HttpResponse::WithStatus(kNotFound);
}

Task<HttpResponse> MeshAgent::HandleHeartbeat(const HttpRequest& request) {
  const Heartbeat heartbeat = TakeHeartbeat(request.body);
  std::string config_source;
  if (m_leader) {
    config_source = m_spread->AssignSource(heartbeat.address);
    if (config_source.empty() && !m_leader->HasNewsFor(heartbeat)) {
      auto waiting = std::make_shared<Waiting>(m_loop);
      waiting->heartbeat = &heartbeat;
      waiting->timer.expires_after(m_timing.heartbeat);
      m_waiting.insert(waiting);
      boost::system::error_code ignored;
      co_await waiting->timer.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
      m_waiting.erase(waiting);
      config_source = waiting->config_source;
    }
  }
  co_return AnswerHeartbeat(heartbeat, config_source);
}

Heartbeat MeshAgent::TakeHeartbeat(const std::string& bytes) {
  const LoopMonitor::Section section(m_monitor,
                                     LoopMonitor::Activity::kAnswerHeartbeat);
  Heartbeat heartbeat = MeshMessageCodec::DecodeHeartbeat(bytes);
  if (m_leader && heartbeat.epoch > m_leader->view().epoch())
    StepDown("deposed");
  if (!m_leader)
    return heartbeat;
  m_leader->OnHeartbeat(heartbeat);
  m_spread->OnHeartbeat(heartbeat);
  m_config.OnHeard(heartbeat.config_version,
                   milliseconds(heartbeat.config_age_ms));
  if (heartbeat.is_urgent)
    Urge();
  return heartbeat;
}

HttpResponse MeshAgent::AnswerHeartbeat(const Heartbeat& heartbeat,
                                        const std::string& config_source) {
  const LoopMonitor::Section section(m_monitor,
                                     LoopMonitor::Activity::kAnswerHeartbeat);
  return HttpResponse::WithStatus(
      kOk, MeshMessageCodec::Encode(Reply(heartbeat, config_source)));
}

HeartbeatReply MeshAgent::DecodeReply(const std::string& bytes) {
  const LoopMonitor::Section section(m_monitor,
                                     LoopMonitor::Activity::kTakeView);
  return MeshMessageCodec::DecodeHeartbeatReply(bytes);
}

MeshRecord MeshAgent::DecodeRecord(const std::string& bytes) {
  const LoopMonitor::Section section(m_monitor, LoopMonitor::Activity::kRecord);
  return MeshMessageCodec::DecodeRecord(bytes);
}

std::string MeshAgent::EncodeRecord(const MeshRecord& record) {
  const LoopMonitor::Section section(m_monitor, LoopMonitor::Activity::kRecord);
  return MeshMessageCodec::Encode(record);
}

void MeshAgent::Plan(MeshLeader& leader) {
  const LoopMonitor::Section section(m_monitor, LoopMonitor::Activity::kLead);
  leader.Tick();
}

std::optional<MeshRecord> MeshAgent::RecordToStore(MeshLeader& leader) {
  const LoopMonitor::Section section(m_monitor, LoopMonitor::Activity::kLead);
  return leader.RecordToStore();
}

void MeshAgent::TakeStored(MeshLeader& leader) {
  const LoopMonitor::Section section(m_monitor, LoopMonitor::Activity::kLead);
  leader.OnStored();
}

HttpResponse MeshAgent::HandleVote(const HttpRequest& request) {
  const VoteRequest vote = MeshMessageCodec::DecodeVoteRequest(request.body);
  VoteReply reply;
  if (vote.gives_back) {
    m_promise.GiveBack(vote.candidate);
    if (m_tracker.is_followed(vote.candidate))
      m_tracker.Forget();
  } else if (vote.is_hello) {
    if (!m_leader && !m_tracker.is_following())
      m_tracker.Follow(vote.candidate);
    if (m_pausing)
      m_pausing->timer.cancel();
  } else if (!m_leader || m_leader->has_resigned()) {
    reply.is_granted =
        m_promise.Grant(vote.candidate, vote.replaces_gone_leader);
    reply.leader_hint = m_promise.holder();
    if (reply.is_granted)
      spdlog::info("event=vote-promised candidate={}", vote.candidate);
  } else {
    reply.leader_hint = m_identity.address;
  }
  return HttpResponse::WithStatus(kOk, MeshMessageCodec::Encode(reply));
}

Task<> MeshAgent::FindLeader() {
  const std::string holder = m_promise.holder();
  if (!holder.empty() && holder != m_identity.address &&
      !m_tracker.WasAskedInVain(holder)) {
    m_tracker.Follow(holder);
    co_return;
  }
  if (m_is_leaving) {
    co_await Pause(kPauseAfterFailure);
    co_return;
  }
  MeshStore::StoredRecord stored;
  std::string failure;
  try {
    stored = co_await m_store.ReadRecord();
  } catch (const StoreError& error) {
    failure = error.what();
  }
  if (m_tracker.is_following())
    co_return;
  if (!failure.empty()) {
    spdlog::warn("event=mesh-record-unread reason=\"{}\"", failure);
    co_await Pause(kPauseAfterFailure);
    co_return;
  }
  if (!stored.bytes) {
    co_await ClaimNewMesh(stored.end);
    co_return;
  }
  const MeshRecord record = DecodeRecord(*stored.bytes);
  m_record_epoch = record.epoch;
  if (record.leader != m_identity.address &&
      !m_tracker.WasAskedInVain(record.leader) && !m_was_named) {
    m_tracker.Follow(record.leader);
    co_return;
  }
  co_await Campaign(record, stored.end, std::exchange(m_was_named, false));
}

milliseconds MeshAgent::MeritDelay() {
  const double lack = 1 - m_identity.leader_merit;
  return milliseconds(static_cast<std::int64_t>(lack * kMeritDelay.count())) +
         milliseconds(m_random() % kRankStep.count());
}

milliseconds MeshAgent::CampaignDelay(const MeshRecord& record) {
  if (m_view.epoch() == record.epoch) {
    return CampaignTurn(m_view, record.leader, record.epoch)
        .DelayOf(m_identity.address, m_random());
  }
  std::size_t rank = 0;
  const auto order = [&record](const std::string& address) {
    return CampaignTurn::OrderOf(address, record.epoch);
  };
  for (const std::string& voter : record.voters)
    rank += order(voter) < order(m_identity.address) ? 1 : 0;
  return std::min(kLongestRankDelay, kRankStep * static_cast<int>(rank)) +
         MeritDelay();
}

Task<> MeshAgent::ClaimNewMesh(std::uint64_t end) {
  co_await Pause(MeritDelay());
  MeshRecord record;
  record.voters = {m_identity.address};
  if (co_await Claim(record, end))
    co_return;
  co_await Pause(kLeaderStep);
}

Task<bool> MeshAgent::Claim(MeshRecord record, std::uint64_t end) {
  ++record.epoch;
  record.leader = m_identity.address;
  const std::string bytes = EncodeRecord(record);
  try {
    m_record_end = co_await m_store.WriteRecord(bytes, end);
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
  m_leader->SetDividedServices(m_divided_services);
  m_spread = std::make_unique<ConfigSpread>(m_clock);
  m_tracker.Forget();
  m_tracker.NoteOwnLead();
  m_is_storing = false;
  m_notified_version = 0;
}

void MeshAgent::StepDown(const char* reason) {
  spdlog::warn("event=leads-no-more reason={}", reason);
  m_promise.GiveBack(m_identity.address);
  m_tracker.NoteOwnLead();
  const std::string successor = m_leader->FindSuccessor();
  if (m_leader->has_resigned() && !successor.empty())
    m_tracker.Follow(successor);
  m_leader.reset();
  m_spread.reset();
  NotifyWaiting();
}

Task<> MeshAgent::AskForVote(std::string voter,
                             std::shared_ptr<VoteCount> count) {
  VoteRequest request;
  request.candidate = m_identity.address;
  request.replaces_gone_leader = count->is_leader_gone;
  try {
    const std::string body = co_await Ask(
        voter, kVotePath, MeshMessageCodec::Encode(request), kVoteTimeout);
    m_refused_since.erase(voter);
    const VoteReply reply = MeshMessageCodec::DecodeVoteReply(body);
    if (reply.is_granted)
      count->granted.insert(voter);
    else if (!reply.leader_hint.empty())
      count->leader_hint = reply.leader_hint;
  } catch (const ConnectRefusedError&) {
    // Its process is gone. What it promised before runs out within a promise's
    // length, and a new process promises nothing for as long.
    const auto since =
        m_refused_since.try_emplace(voter, m_clock.Now()).first->second;
    if (m_clock.Now() - since > m_timing.promise)
      count->granted.insert(voter);
  } catch (const std::exception& error) {
    m_refused_since.erase(voter);
    spdlog::debug("event=vote-unanswered voter={} reason=\"{}\"", voter,
                  error.what());
  }
  --count->open;
  if (count->open == 0 && m_pausing)
    m_pausing->timer.cancel();
}

void MeshAgent::GiveVotesBack(const VoteCount& count) {
  // All at once, and nobody waits for it: one after the other, over full links,
  // kept the fittest candidate from asking again until the promises had ended.
  for (const std::string& voter : count.granted) {
    if (voter != m_identity.address)
      boost::asio::co_spawn(m_loop, GiveVoteBack(voter), boost::asio::detached);
  }
}

Task<> MeshAgent::GiveVoteBack(std::string voter) {
  VoteRequest request;
  request.candidate = m_identity.address;
  request.gives_back = true;
  try {
    co_await Ask(voter, kVotePath, MeshMessageCodec::Encode(request),
                 kVoteTimeout);
  } catch (const std::exception& error) {
    // Its promise runs out by itself.
    spdlog::debug("event=vote-not-given-back voter={} reason=\"{}\"", voter,
                  error.what());
  }
}

Task<> MeshAgent::Campaign(MeshRecord record,
                           std::uint64_t end,
                           bool is_named) {
  const bool is_leader_gone = IsGone(record);
  if (m_promise.is_abstaining() && !is_leader_gone) {
    co_await Pause(kPauseAfterFailure);
    co_return;
  }
  if (!is_named) {
    const milliseconds delay = CampaignDelay(record);
    co_await Pause(delay);
  }
  if (m_tracker.is_following() ||
      !m_promise.Grant(m_identity.address, is_leader_gone))
    co_return;
  auto count = std::make_shared<VoteCount>();
  count->is_leader_gone = is_leader_gone;
  count->asked = m_clock.Now();
  for (const std::string& voter : record.voters) {
    if (voter == m_identity.address) {
      count->granted.insert(voter);
      continue;
    }
    ++count->open;
    boost::asio::co_spawn(m_loop, AskForVote(voter, count),
                          boost::asio::detached);
  }
  const Clock::TimePoint give_up = m_clock.Now() + kVoteTimeout + kLeaderStep;
  const std::size_t needed = record.voters.size() / 2 + 1;
  while (count->open > 0 && count->granted.size() < needed &&
         m_clock.Now() < give_up)
    co_await Pause(milliseconds(10));
  spdlog::info("event=campaign epoch={} votes={} needed={}", record.epoch + 1,
               count->granted.size(), needed);
  if (count->granted.size() >= needed && co_await Claim(record, end)) {
    for (const std::string& voter : count->granted)
      m_leader->OnVote(voter, count->asked);
    co_return;
  }
  m_promise.GiveBack(m_identity.address);
  GiveVotesBack(*count);
  if (!count->leader_hint.empty() && count->leader_hint != m_identity.address &&
      !m_tracker.WasAskedInVain(count->leader_hint)) {
    m_tracker.Follow(count->leader_hint);
  }
  co_await Pause(kPauseAfterFailure +
                 milliseconds(m_random() % kPauseAfterFailure.count()));
}

Task<> MeshAgent::LeadOnce() {
  const std::shared_ptr<MeshLeader> leader = m_leader;
  if (m_is_leaving)
    ResignToLeave();
  m_promise.Grant(m_identity.address);
  const Clock::TimePoint now = m_clock.Now();
  const Heartbeat heartbeat = Compose(false);
  leader->OnHeartbeat(heartbeat);
  m_spread->OnHeartbeat(heartbeat);
  Plan(*leader);
  if (leader->HasAuthority())
    m_tracker.NoteOwnLead();
  const std::string config_source = m_spread->AssignSource(m_identity.address);
  OnReply(Reply(heartbeat, config_source), m_identity.address, now);
  if (m_leader != leader)
    co_return;
  ResignToFitter();
  if (leader->has_resigned() && m_tracker.TimeWithoutLeader() > kResigned) {
    StepDown("resigned");
    co_return;
  }
  // While the store is away nobody else can claim the mesh: better go on, and
  // lead again once most nodes are back.
  if (m_tracker.TimeWithoutLeader() > kNoAuthority &&
      m_config.store_answers()) {
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
  NotifyWaiting();
  if (now - m_last_hello > kHelloEvery) {
    m_last_hello = now;
    for (const std::string& node : leader->MissingNodes())
      boost::asio::co_spawn(m_loop, SayHello(node), boost::asio::detached);
  }
  m_is_urged = false;
  co_await Pause(kLeaderStep);
}

Task<> MeshAgent::SayHello(std::string node) {
  VoteRequest request;
  request.candidate = m_identity.address;
  request.is_hello = true;
  try {
    co_await Ask(node, kVotePath, MeshMessageCodec::Encode(request),
                 kVoteTimeout);
  } catch (const std::exception& error) {
    spdlog::debug("event=hello-unanswered node={} reason=\"{}\"", node,
                  error.what());
  }
}

Task<bool> MeshAgent::StoreOnce(const std::string& bytes,
                                const std::shared_ptr<MeshLeader>& leader) {
  try {
    m_record_end = co_await m_store.WriteRecord(bytes, m_record_end);
    m_config.OnStoreAnswered();
    TakeStored(*leader);
    co_return true;
  } catch (const StoreConflictError&) {
    // Looked into below: a handler can't wait for the store.
  }
  // Either an earlier try of this write took effect without an answer, or
  // another node has claimed the mesh.
  const MeshStore::StoredRecord stored = co_await m_store.ReadRecord();
  if (stored.bytes && *stored.bytes == bytes) {
    m_record_end = stored.end;
    TakeStored(*leader);
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
  m_record_end = stored.end;
  co_return false;
}

Task<> MeshAgent::StoreRecord(MeshRecord record,
                              std::shared_ptr<MeshLeader> leader) {
  const std::string bytes = EncodeRecord(record);
  const Clock::TimePoint began = m_clock.Now();
  bool is_done = false;
  while (!is_done && m_leader == leader) {
    std::string failure;
    try {
      is_done = co_await StoreOnce(bytes, leader);
    } catch (const StoreError& error) {
      failure = error.what();
    }
    if (is_done || m_leader != leader)
      break;
    const std::string successor = leader->FindSuccessor();
    if (!failure.empty() && m_clock.Now() - began > kStoreLost &&
        leader->SuccessorHasStore() && !leader->has_resigned()) {
      Resign(successor, failure);
    }
    boost::asio::steady_timer timer(m_loop, kStoreRetry);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  if (m_leader != leader)
    co_return;
  m_is_storing = false;
  NotifyWaiting();
  // This node itself should learn of it now.
  if (m_pausing)
    m_pausing->timer.cancel();
}

void MeshAgent::NotifyWaiting() {
  bool is_for_all = true;
  if (m_leader && !m_leader->has_resigned()) {
    const std::uint64_t version = m_leader->view().version();
    const Clock::TimePoint now = m_clock.Now();
    is_for_all = version != m_notified_version &&
                 now - m_notified_at >= kNewsPause * m_leader->node_count();
    if (is_for_all) {
      m_notified_at = now;
      m_notified_version = version;
    }
  }
  for (const std::shared_ptr<Waiting>& waiting : m_waiting) {
    const bool is_behind =
        m_leader && waiting->heartbeat->config_version < m_spread->newest();
    if (is_behind && waiting->config_source.empty()) {
      waiting->config_source =
          m_spread->AssignSource(waiting->heartbeat->address);
    }
    if (is_for_all || !waiting->config_source.empty() ||
        m_leader->HasNewsFor(*waiting->heartbeat))
      waiting->timer.cancel();
  }
}

}  // namespace citrongrade
