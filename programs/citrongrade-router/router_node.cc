#include "programs/citrongrade-router/router_node.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "modules/coordination/load/memory_budget.h"
#include "modules/coordination/load/poison_detector.h"
#include "modules/coordination/load/response_memory.h"
#include "modules/coordination/load/weighted_destinations.h"
#include "modules/coordination/mesh/mesh_timing.h"
#include "modules/coordination/steady_clock.h"
#include "modules/transport/async/async_connection_pool.h"
#include "modules/transport/async/async_http_server.h"
#include "modules/transport/async/event_loop.h"
#include "modules/transport/mesh/body_flow_controller.h"
#include "modules/transport/mesh/config_follower.h"
#include "modules/transport/mesh/config_transfer.h"
#include "modules/transport/mesh/forward_result.h"
#include "modules/transport/mesh/forwarded_request_handler.h"
#include "modules/transport/mesh/instance_chooser.h"
#include "modules/transport/mesh/loop_monitor.h"
#include "modules/transport/mesh/mesh_agent.h"
#include "modules/transport/mesh/request_log.h"
#include "modules/transport/mesh/request_router.h"
#include "modules/transport/mesh/router_metrics.h"
#include "modules/transport/mesh/target_controller.h"
#include "modules/transport/mesh/target_gateway.h"
#include "modules/transport/mesh/target_loss.h"
#include "platform/config_document.h"
#include "platform/platform_store.h"
#include "platform/platform_wire_protocol.h"
#include "programs/citrongrade-router/report_handler.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{25};
constexpr int kTicksPerRefresh = 4;
// Fraction of the drain time in which the target still gets new requests; the
// rest is for requests in flight.
constexpr double kDrainFraction = 0.75;
// Fraction of the time until an evacuation has to be in force in which the
// target still gets requests; the rest is for the news to reach its node.
constexpr double kEvacuationFraction = 0.4;
// Callers learn that this node stops from two readiness checks, one second
// apart.
constexpr milliseconds kReadinessPropagationDelay{2300};
// Keys that are not handed over by then are abandoned.
constexpr milliseconds kMaxHandoverTime{3600};
// Requests that run go on until this long before the end of the grace.
constexpr milliseconds kTerminationMargin{500};
// Time for the final responses after that.
constexpr milliseconds kFinalResponseTime{250};
// Requests that this node takes on while it stops are answered this long before
// that, so that their results are known by then.
constexpr milliseconds kAnswerMargin{200};
// Fraction of the mesh's extra retries that the nodes share; the rest is a
// reserve, as nodes do not tell each other how many they have used.
constexpr double kRetryFraction = 0.5;
// Forwarded requests may have larger headers: nodes add theirs to the caller's.
constexpr std::size_t kForwardedHeaderFactor = 2;
constexpr double kBytesPerMegabit = 1e6 / 8;
// Share of the process's memory for the bodies of requests. A body that is
// being forwarded is held twice.
constexpr double kBodyMemoryShare = 0.25;
// Share for responses that are being received.
constexpr double kResponseMemoryShare = 0.25;
constexpr double kBytesPerMegabyte = 1 << 20;
// A limit that a target names for less than this moves no keys: they would be
// moved back at once, and each move interrupts them.
constexpr milliseconds kMinLastingLimitAge{2500};
// The leader takes 0 for no limit.
constexpr double kMinLastingRequestsPerSecond = 0.1;
constexpr std::size_t kStatusHeaderBytes = std::size_t{8} * 1024;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Handler that gets its response from a function, without waiting.
class FunctionHandler final : public AsyncHttpServer::Handler {
 public:
  using Function = std::function<HttpResponse(const HttpRequest&)>;

  explicit FunctionHandler(Function function)
      : m_function(std::move(function)) {}

  Task<HttpResponse> Handle(HttpRequest request,
                            RequestContext& /*context*/) override {
    co_return m_function(request);
  }

 private:
  const Function m_function;
};

AsyncConnectionPool::Settings MakePoolSettings(ResponseMemory& memory) {
  AsyncConnectionPool::Settings settings;
  settings.response_memory = &memory;
  return settings;
}

AsyncHttpServer::Settings MakeServerSettings(const HttpAddress& address) {
  AsyncHttpServer::Settings settings;
  settings.address = address;
  return settings;
}

AsyncHttpServer::Settings MakeCallerServerSettings(
    const platform::SettingsFile& file,
    MemoryBudget& body_budget) {
  AsyncHttpServer::Settings server = MakeServerSettings(file.callers);
  server.body_budget = &body_budget;
  return server;
}

AsyncHttpServer::Settings MakeForwardedServerSettings(
    const RouterSettings& settings,
    const platform::SettingsFile& file,
    MemoryBudget& body_budget) {
  AsyncHttpServer::Settings server = MakeServerSettings(file.forwarded);
  server.max_header_bytes *= kForwardedHeaderFactor;
  // The node that a body is forwarded from has checked its length.
  server.max_body_bytes = settings.max_body_bytes;
  server.body_budget = &body_budget;
  return server;
}

AsyncHttpServer::Settings MakeStatusServerSettings(const HttpAddress& address) {
  AsyncHttpServer::Settings server = MakeServerSettings(address);
  server.max_header_bytes = kStatusHeaderBytes;
  return server;
}

HttpAddress MeshAddress(const platform::SettingsFile& file, int index) {
  return {file.ip, static_cast<std::uint16_t>(file.first_mesh_port + index)};
}

// Cores and bandwidth of a node with full leader fitness; with less of either,
// it is less fit to lead. A leader of 61 nodes with a tenth of a core answered
// them seconds late. A complete view for each of 75 nodes is 1 MB, which a link
// of 20 Mbit/s carries in half a second.
constexpr double kFullFitnessCores = 0.5;
constexpr double kFullFitnessLinkMbps = 100;

double LeaderFitness(const platform::SettingsFile& file) {
  return std::min({1.0, file.cpu_share / kFullFitnessCores,
                   file.link_mbps / kFullFitnessLinkMbps});
}

// What this node tells other nodes about itself.
MeshAgent::Identity MakeIdentity(const RouterSettings& settings,
                                 const platform::SettingsFile& file) {
  HttpAddress mesh = MeshAddress(file, 0);
  HttpAddress data = file.forwarded;
  if (!settings.published_ip.empty()) {
    mesh.ip = settings.published_ip;
    data.ip = settings.published_ip;
  }
  return {mesh.ToString(), data.ToString(), file.zone, LeaderFitness(file)};
}

// Whether this node keeps slots of its target for short calls.
bool HasContendedCapacity(const RouterSettings& settings,
                          const platform::SettingsFile& file) {
  if (settings.contended_capacity == "auto")
    return file.has_contended_capacity;
  return settings.contended_capacity == "on";
}

TargetController::Settings MakeTargetControllerSettings(
    const platform::SettingsFile& file) {
  TargetController::Settings settings;
  settings.address = file.target;
  settings.drain_period = std::chrono::duration_cast<milliseconds>(
      file.drain_timeout * kDrainFraction);
  settings.evacuation_period = std::chrono::duration_cast<milliseconds>(
      file.evacuation_timeout * kEvacuationFraction);
  settings.grants_by_report = file.grants_by_report;
  return settings;
}

}  // namespace

// Members are declared in order of dependency: each uses only those above it,
// and this object as a listener.
class RouterNode::Implementation final : public ConfigFollower::Listener,
                                         public TargetController::Listener,
                                         public MeshAgent::Listener {
 public:
  Implementation(const RouterSettings& settings,
                 const platform::SettingsFile& file);
  ~Implementation() override { m_loop.DestroyWaiting(); }

  void Run();

 private:
  void OnConfig(const RoutingConfig& config) override;
  void OnEvacuations(const ZoneEvacuations& evacuations) override;
  void OnTargetChanged() override;
  void OnTargetLost(const TargetLoss& loss) override;
  void FillHeartbeat(Heartbeat& heartbeat) override;
  void OnReply(const HeartbeatReply& reply) override;
  void OnViewChanged() override;
  void ApplyViewToTarget();
  void OnRecordRead(const MeshRecord& record) override;

  void UpdateColdLimit();
  Task<> TickLoop();
  Task<> WatchSettings();
  Task<> AwaitSignals();
  Task<> Stop();
  // Waits one tick of the shutdown.
  Task<> AwaitStopTick();
  // Gives up the requests that run, and waits until their responses are sent.
  Task<> AnswerPending();
  std::size_t ConnectionCount() const;
  void Reload(const char* cause);
  bool IsReady() const;
  HttpResponse AnswerStatus(const HttpRequest& request) const;
  std::string DumpState() const;
  // What the target beside this node has said of itself.
  nlohmann::json DumpCondition() const;
  // Requests that ran beside crashes of targets, as far as this node knows.
  nlohmann::json DumpCrashSuspects() const;
  // How long the target beside this node stays cold.
  milliseconds ColdLeft() const;
  std::string DumpMetrics() const;
  // Limit in requests per second that the target has named for a while; 0: no
  // limit.
  double LastingLimit() const;

  const RouterSettings m_settings;
  platform::SettingsFile m_file;
  const bool m_has_contended_capacity;
  const SteadyClock m_clock{};
  const MeshTiming m_timing{};
  EventLoop m_loop;
  LoopMonitor m_monitor;
  MemoryBudget m_body_budget;
  ResponseMemory m_response_memory;
  const platform::PlatformWireProtocol m_wire_protocol{};
  const platform::ConfigDocument m_config_decoder{};
  AsyncConnectionPool m_target_pool;
  AsyncConnectionPool m_peer_pool;
  AsyncConnectionPool m_store_pool;
  platform::PlatformStore m_store;
  ConfigFollower m_config;
  ConfigTransfer m_transfer;
  TargetController m_target_controller;
  TargetGateway m_gateway;
  InstanceChooser m_chooser;
  MeshAgent m_agent;
  RouterMetrics m_metrics;
  RequestLog m_log;
  RequestRouter m_router;
  BodyFlowController m_body_flow_controller;
  ForwardedRequestHandler m_forwarded_handler;
  ReportHandler m_report_handler;
  FunctionHandler m_readiness_handler;
  FunctionHandler m_status_handler;
  AsyncHttpServer m_caller_server;
  AsyncHttpServer m_forwarded_server;
  AsyncHttpServer m_mesh_server;
  AsyncHttpServer m_report_server;
  AsyncHttpServer m_readiness_server;
  AsyncHttpServer m_status_server;
  TargetRateLimiter::ColdLimit m_cold_limit;
  bool m_is_stopping = false;
};

RouterNode::Implementation::Implementation(const RouterSettings& settings,
                                           const platform::SettingsFile& file)
    : m_settings(settings),
      m_file(file),
      m_has_contended_capacity(HasContendedCapacity(settings, file)),
      m_monitor(m_clock),
      m_body_budget(static_cast<std::uint64_t>(
          file.memory_mb * kBytesPerMegabyte * kBodyMemoryShare)),
      m_response_memory(static_cast<std::uint64_t>(
          file.memory_mb * kBytesPerMegabyte * kResponseMemoryShare)),
      m_target_pool(m_loop, m_clock, MakePoolSettings(m_response_memory)),
      m_peer_pool(m_loop, m_clock, MakePoolSettings(m_response_memory)),
      m_store_pool(m_loop, m_clock, {}),
      m_store(m_store_pool, {file.store}),
      m_config(m_loop, m_clock, m_store, m_config_decoder, *this),
      m_transfer(m_loop, m_clock, m_config, m_peer_pool, m_monitor),
      m_target_controller(m_loop,
                          m_clock,
                          MakeTargetControllerSettings(file),
                          m_wire_protocol,
                          m_target_pool,
                          *this),
      m_gateway(m_loop,
                m_clock,
                m_wire_protocol,
                m_target_controller,
                m_target_pool,
                m_has_contended_capacity),
      m_chooser(m_clock, file.zone),
      m_agent(m_loop,
              m_clock,
              m_timing,
              MakeIdentity(settings, file),
              m_store,
              m_config,
              m_transfer,
              m_peer_pool,
              m_monitor,
              *this),
      m_log(m_clock,
            {settings.log_failures_per_second,
             settings.log_successes_per_second}),
      m_router({m_loop, m_clock, m_wire_protocol, m_config, m_agent, m_gateway,
                m_chooser, m_peer_pool, m_metrics, m_log, m_file.region_by_zone,
                MakeTargetControllerSettings(file).drain_period},
               file.service),
      m_body_flow_controller(m_loop,
                             m_clock,
                             file.link_mbps * kBytesPerMegabit),
      m_forwarded_handler(m_clock, m_gateway, m_body_flow_controller, m_log),
      m_report_handler(m_target_controller, file.service),
      m_readiness_handler([this](const HttpRequest&) {
        return HttpResponse::WithStatus(IsReady() ? kOk : kUnavailable);
      }),
      m_status_handler(
          [this](const HttpRequest& request) { return AnswerStatus(request); }),
      m_caller_server(m_loop,
                      m_clock,
                      MakeCallerServerSettings(file, m_body_budget),
                      m_router),
      m_forwarded_server(
          m_loop,
          m_clock,
          MakeForwardedServerSettings(settings, file, m_body_budget),
          m_forwarded_handler),
      m_mesh_server(m_loop,
                    m_clock,
                    MakeServerSettings(MeshAddress(file, 0)),
                    m_agent),
      m_report_server(m_loop,
                      m_clock,
                      MakeStatusServerSettings(file.reports),
                      m_report_handler),
      m_readiness_server(m_loop,
                         m_clock,
                         MakeStatusServerSettings(file.readiness),
                         m_readiness_handler),
      m_status_server(m_loop,
                      m_clock,
                      MakeStatusServerSettings(MeshAddress(file, 1)),
                      m_status_handler) {}

void RouterNode::Implementation::Run() {
  spdlog::info(
      "event=started node={} zone={} service={} callers={} target={} store={} "
      "cores={:.2f} link_mbps={:.0f} contended_capacity={}",
      m_file.node_name, m_file.zone, m_file.service, m_file.callers.ToString(),
      m_file.target.ToString(), m_file.store.ToString(), m_file.cpu_share,
      m_file.link_mbps, m_has_contended_capacity);
  m_config.Start([this] { return m_agent.should_read_store(); });
  m_agent.Start();
  boost::asio::co_spawn(m_loop, m_target_controller.ProbeAtStart(),
                        boost::asio::detached);
  boost::asio::co_spawn(m_loop, TickLoop(), boost::asio::detached);
  boost::asio::co_spawn(m_loop, WatchSettings(), boost::asio::detached);
  boost::asio::co_spawn(m_loop, AwaitSignals(), boost::asio::detached);
  m_loop.run();
}

void RouterNode::Implementation::OnConfig(const RoutingConfig& config) {
  std::set<std::string> sharded;
  for (const auto& [name, service] : config.services) {
    if (service.is_sharded)
      sharded.insert(name);
  }
  m_agent.SetShardedServices(std::move(sharded));
  UpdateColdLimit();
  m_caller_server.SetIdleTimeout(config.limits.idle_timeout);
  // A body that never fits into this process's memory is rejected for good.
  m_caller_server.SetMaxBodyBytes(std::min<std::uint64_t>(
      {config.limits.max_body_bytes, m_settings.max_body_bytes,
       m_body_budget.total()}));
  const std::size_t header_bytes = config.limits.max_header_bytes;
  m_caller_server.SetMaxHeaderBytes(header_bytes);
  m_forwarded_server.SetMaxHeaderBytes(kForwardedHeaderFactor * header_bytes);
  // The leader may not have this configuration yet.
  if (m_agent.should_read_store())
    m_agent.TriggerHeartbeat();
}

void RouterNode::Implementation::OnEvacuations(
    const ZoneEvacuations& evacuations) {
  m_target_controller.SetEvacuated(evacuations.Contains(m_file.zone));
  m_agent.OnEvacuations();
}

void RouterNode::Implementation::UpdateColdLimit() {
  if (!m_config.config())
    return;
  const RoutedService* service =
      m_config.config()->FindService(m_target_controller.service());
  if (service == nullptr)
    return;
  m_target_controller.SetColdStart(service->cold_start);
  m_cold_limit.rate = service->cold_requests_per_second * m_file.cold_excess;
  m_cold_limit.burst = m_file.cold_slack;
  m_gateway.SetColdLimit(m_cold_limit);
}

void RouterNode::Implementation::OnTargetChanged() {
  UpdateColdLimit();
  m_agent.TriggerHeartbeat();
}

void RouterNode::Implementation::OnTargetLost(const TargetLoss& loss) {
  m_gateway.OnTargetLost(loss);
}

void RouterNode::Implementation::FillHeartbeat(Heartbeat& heartbeat) {
  heartbeat.target = m_target_controller.MakeHeartbeatTarget();
  heartbeat.target.cold_requests_per_second = m_cold_limit.rate;
  heartbeat.target.named_requests_per_second = LastingLimit();
  heartbeat.released = m_target_controller.MakeHeartbeatReleases();
  heartbeat.slot_request_counts = m_gateway.TakeSlotRequestCounts();
  heartbeat.mean_service_time_us = m_gateway.mean_service_time_us();
  heartbeat.long_run_us = m_gateway.long_run_us();
  heartbeat.crash_report = m_gateway.MakeCrashReport();
  heartbeat.departures = m_target_controller.MakeDepartureReport();
}

void RouterNode::Implementation::OnReply(const HeartbeatReply& reply) {
  // A leader without authority may not know what the present one has stored.
  if (reply.lease_ms > 0)
    m_target_controller.OnDepartures(reply.departures);
  m_target_controller.SetLease(m_agent.lease_until());
  m_gateway.OnCrashReportReply(reply.crash_report, reply.nonce);
}

void RouterNode::Implementation::OnViewChanged() {
  m_target_controller.SetMaxLease(m_agent.max_lease());
  ApplyViewToTarget();
  m_chooser.Refresh(m_agent.view());
  const std::size_t nodes =
      std::max<std::size_t>(1, m_agent.view().members().size());
  m_router.SetRetryBurst(m_file.mesh_retry_burst * kRetryFraction /
                         static_cast<double>(nodes));
  m_router.OnViewChanged();
}

void RouterNode::Implementation::ApplyViewToTarget() {
  m_target_controller.OnView(m_agent.view(), m_agent.identity().address,
                             m_agent.view_as_of());
}

void RouterNode::Implementation::OnRecordRead(const MeshRecord& record) {
  // A node that is cut off from all others still serves its own callers.
  m_gateway.MergeCrashSuspects(record.crash_suspects);
  const std::uint32_t node =
      TargetDeparture::HashNode(m_agent.identity().address);
  std::vector<DepartedTarget> departed;
  for (const TargetDeparture& departure : record.departures) {
    if (departure.node_hash == node)
      departed.push_back(departure.target);
  }
  m_target_controller.OnDeparturesStored(departed);
}

Task<> RouterNode::Implementation::TickLoop() {
  boost::asio::steady_timer timer(m_loop);
  int ticks = 0;
  while (true) {
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
    m_monitor.OnTimerFired(m_clock.Now() - timer.expiry());
    ApplyViewToTarget();
    m_target_controller.Tick();
    m_gateway.Tick();
    m_body_flow_controller.Tick();
    if (++ticks % kTicksPerRefresh != 0)
      continue;
    m_chooser.Refresh(m_agent.view());
    m_target_pool.CloseExpired();
    m_target_controller.CloseIdleConnections();
    m_peer_pool.CloseExpired();
    m_store_pool.CloseExpired();
  }
}

Task<> RouterNode::Implementation::WatchSettings() {
  boost::asio::steady_timer timer(m_loop);
  while (true) {
    timer.expires_after(m_settings.settings_check_interval);
    co_await timer.async_wait(boost::asio::use_awaitable);
    Reload("file-changed");
  }
}

void RouterNode::Implementation::Reload(const char* cause) {
  try {
    const auto file = platform::SettingsFile::Read(m_settings.settings_file);
    if (file == m_file)
      return;
    spdlog::info("event=settings-reloaded cause={} service={}", cause,
                 file.service);
    // Addresses are not reloaded: they belong to the host, and the servers
    // already listen on them.
    m_file.service = file.service;
    m_file.mesh_retry_burst = file.mesh_retry_burst;
    m_router.SetOriginService(file.service);
    m_report_handler.SetService(file.service);
  } catch (const platform::SettingsFileError& error) {
    spdlog::error("event=settings-unreadable cause={} reason=\"{}\"", cause,
                  error.what());
  }
}

Task<> RouterNode::Implementation::AwaitSignals() {
  boost::asio::signal_set signals(m_loop, SIGTERM, SIGINT, SIGHUP);
  while (true) {
    const int number = co_await signals.async_wait(boost::asio::use_awaitable);
    if (number == SIGHUP) {
      Reload("signal");
      continue;
    }
    if (std::exchange(m_is_stopping, true))
      continue;
    spdlog::info("event=stopping signal={}", number);
    boost::asio::co_spawn(m_loop, Stop(), boost::asio::detached);
  }
}

Task<> RouterNode::Implementation::AwaitStopTick() {
  m_router.WithdrawWaiting();
  boost::asio::steady_timer timer(m_loop, kTickInterval);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

std::size_t RouterNode::Implementation::ConnectionCount() const {
  return m_caller_server.connection_count() +
         m_forwarded_server.connection_count();
}

Task<> RouterNode::Implementation::AnswerPending() {
  const std::size_t callers =
      m_caller_server.AnswerPending(HttpResponse::WithStatus(kGatewayTimeout));
  // They may run on: their nodes may repeat only idempotent ones.
  const std::size_t forwarded = m_forwarded_server.AnswerPending(
      ForwardResult::Unknown(RequestErrorCode::kNodeDraining,
                             "the target's node stops")
          .ToHttpResponse());
  if (callers + forwarded > 0) {
    spdlog::warn("event=requests-unfinished callers={} forwarded={}", callers,
                 forwarded);
  }
  const Clock::TimePoint end = m_clock.Now() + kFinalResponseTime;
  while (ConnectionCount() > 0 && m_clock.Now() < end)
    co_await AwaitStopTick();
}

Task<> RouterNode::Implementation::Stop() {
  const Clock::TimePoint start = m_clock.Now();
  const auto max_time = m_file.termination_grace - kTerminationMargin;
  const Clock::TimePoint answer_by = start + max_time - kAnswerMargin;
  m_router.BeginShutdown(answer_by, start + max_time);
  m_gateway.LimitDeadlines(answer_by);
  m_agent.SetLeaving();
  const auto elapsed = [this, start] { return m_clock.Now() - start; };
  m_caller_server.DisableKeepAlive();
  while (elapsed() < kReadinessPropagationDelay ||
         (!m_target_controller.HasReturnedAllRanges() &&
          elapsed() < kMaxHandoverTime))
    co_await AwaitStopTick();
  m_caller_server.Close();
  m_forwarded_server.Close();
  const auto leads_alone = [this] {
    return m_agent.is_leader() && m_agent.view().members().size() > 1;
  };
  while ((ConnectionCount() > 0 || leads_alone()) && elapsed() < max_time)
    co_await AwaitStopTick();
  co_await AnswerPending();
  spdlog::info("event=stopped in_flight={} withdrawn={} held_ranges={}",
               m_caller_server.in_flight() + m_forwarded_server.in_flight(),
               m_router.withdrawn_count(),
               m_target_controller.held_range_count());
  m_loop.stop();
}

bool RouterNode::Implementation::IsReady() const {
  return !m_is_stopping && m_config.version() > 0 && m_agent.view().epoch() > 0;
}

HttpResponse RouterNode::Implementation::AnswerStatus(
    const HttpRequest& request) const {
  if (request.target == "/metrics")
    return HttpResponse::WithStatus(kOk, DumpMetrics());
  if (request.target == "/state")
    return HttpResponse::WithStatus(kOk, DumpState());
  return HttpResponse::WithStatus(kNotFound);
}

milliseconds RouterNode::Implementation::ColdLeft() const {
  return std::max(milliseconds(0),
                  std::chrono::ceil<milliseconds>(
                      m_target_controller.cold_until() - m_clock.Now()));
}

nlohmann::json RouterNode::Implementation::DumpCondition() const {
  const TargetCondition& condition = m_target_controller.condition();
  const auto age_ms = [this](const std::optional<Clock::TimePoint>& since) {
    return since ? nlohmann::json(std::chrono::duration_cast<milliseconds>(
                                      m_clock.Now() - *since)
                                      .count())
                 : nlohmann::json();
  };
  nlohmann::json json;
  if (condition.rate_limit())
    json["rate_limit"] = *condition.rate_limit();
  else
    json["rate_limit"] = nullptr;
  json["limited_for_ms"] = age_ms(condition.limited_since());
  json["leaving_for_ms"] = age_ms(condition.leaving_since());
  if (const std::optional<TargetLoad>& load = condition.load()) {
    json["load"] = {{"running", load->running},
                    {"waiting", load->waiting},
                    {"concurrency", load->concurrency},
                    {"service_time_percent", load->service_time_percent}};
  }
  return json;
}

nlohmann::json RouterNode::Implementation::DumpCrashSuspects() const {
  const PoisonDetector& detector = m_gateway.poison_detector();
  nlohmann::json list = nlohmann::json::array();
  for (const CrashSuspect& suspect : detector.Suspects()) {
    const RequestFingerprint fingerprint(suspect.fingerprint);
    list.push_back(
        {{"fingerprint", fmt::format("{:016x}", suspect.fingerprint)},
         {"crashes", detector.CrashCount(fingerprint)},
         {"age_s", suspect.age.count()},
         {"is_quarantined", detector.IsQuarantined(fingerprint)}});
  }
  return list;
}

std::string RouterNode::Implementation::DumpState() const {
  using Json = nlohmann::json;
  Json state;
  state["node"] = m_file.node_name;
  state["zone"] = m_file.zone;
  state["is_leader"] = m_agent.is_leader();
  state["store_answers"] = m_config.is_store_answering();
  state["leader"] = m_agent.leader_address();
  state["epoch"] = m_agent.view().epoch();
  state["view_version"] = m_agent.view().version();
  state["lease_left_ms"] = std::chrono::duration_cast<milliseconds>(
                               m_agent.lease_until() - m_clock.Now())
                               .count();
  state["longest_lease_ms"] = m_agent.max_lease().count();
  state["config_version"] = m_config.version();
  state["evacuated_zones"] = m_config.evacuations().zones;
  state["target"] = {{"id", m_target_controller.incarnation().id},
                     {"service", m_target_controller.service()},
                     {"serves", m_target_controller.IsServing()},
                     {"cold_left_ms", ColdLeft().count()},
                     {"held_ranges", m_target_controller.held_range_count()},
                     {"running", m_gateway.running()},
                     {"reserved_slots", m_gateway.reserved_slots()},
                     {"waiting", m_gateway.waiting()},
                     {"long_run_ms", m_gateway.long_run_us() / 1e3}};
  state["target"].update(DumpCondition());
  state["crash_suspects"] = DumpCrashSuspects();
  for (const MeshMember* member : m_agent.view().members()) {
    state["members"].push_back({{"address", member->address},
                                {"service", member->service},
                                {"zone", member->zone},
                                {"target", member->target.id},
                                {"state", static_cast<int>(member->state)}});
  }
  for (const auto& [route, destinations] : m_router.destinations()) {
    for (const WeightedDestinations::Share& share : destinations.shares()) {
      state["destinations"][route].push_back(
          {{"service", share.destination.service},
           {"weight", share.destination.weight},
           {"credit", share.credit}});
    }
  }
  for (const auto& [service, table] : m_agent.view().tables()) {
    for (const SlotAssignment& assignment : table.assignments()) {
      state["runs"][service].push_back({assignment.range.first_key(),
                                        assignment.range.last_key(),
                                        assignment.owner, assignment.fence});
    }
  }
  return state.dump(2);
}

double RouterNode::Implementation::LastingLimit() const {
  const TargetCondition& condition = m_target_controller.condition();
  const std::optional<Clock::TimePoint> since = condition.limited_since();
  if (!since || m_clock.Now() - *since < kMinLastingLimitAge)
    return 0;
  return std::max(*condition.rate_limit(), kMinLastingRequestsPerSecond);
}

std::string RouterNode::Implementation::DumpMetrics() const {
  std::string text = m_metrics.ToText() + m_monitor.ToText();
  const auto add = [&text](const char* name, double value) {
    text += std::string(name) + " " + std::to_string(value) + "\n";
  };
  const TargetGateway::Counts& counts = m_gateway.counts();
  add("citrongrade_target_offered_total", static_cast<double>(counts.offered));
  add("citrongrade_target_sent_total", static_cast<double>(counts.sent));
  const TargetCondition& condition = m_target_controller.condition();
  add("citrongrade_target_is_limited", condition.rate_limit() ? 1 : 0);
  add("citrongrade_target_limit_requests_per_second",
      condition.rate_limit().value_or(0));
  add("citrongrade_target_limit_changes_total",
      static_cast<double>(condition.rate_limit_changes()));
  add("citrongrade_target_limit_omissions_total",
      static_cast<double>(condition.omissions()));
  add("citrongrade_target_is_leaving", condition.leaving_since() ? 1 : 0);
  add("citrongrade_target_answered_total",
      static_cast<double>(counts.answered));
  add("citrongrade_target_not_run_total", static_cast<double>(counts.not_run));
  add("citrongrade_target_unknown_total", static_cast<double>(counts.unknown));
  add("citrongrade_target_ignored_answers_total",
      static_cast<double>(counts.ignored_answers));
  add("citrongrade_target_endless_answers_total",
      static_cast<double>(counts.endless_answers));
  add("citrongrade_response_memory_bytes",
      static_cast<double>(m_response_memory.used()));
  add("citrongrade_responses_evicted_total",
      static_cast<double>(m_response_memory.evicted_count()));
  add("citrongrade_target_withdrawn_total",
      static_cast<double>(counts.withdrawn));
  const PoisonDetector& detector = m_gateway.poison_detector();
  add("citrongrade_target_crashes_total", static_cast<double>(counts.crashes));
  add("citrongrade_quarantine_refusals_total",
      static_cast<double>(counts.quarantined));
  add("citrongrade_crash_suspects",
      static_cast<double>(detector.suspect_count()));
  add("citrongrade_quarantined_requests",
      static_cast<double>(detector.quarantined_count()));
  add("citrongrade_crash_suspects_evicted_total",
      static_cast<double>(detector.evicted_count()));
  add("citrongrade_ledger_crash_suspects_evicted_total",
      static_cast<double>(m_agent.ledger_evicted_count()));
  add("citrongrade_target_running", static_cast<double>(m_gateway.running()));
  add("citrongrade_target_waiting", static_cast<double>(m_gateway.waiting()));
  add("citrongrade_target_reserved_slots",
      static_cast<double>(m_gateway.reserved_slots()));
  add("citrongrade_target_mean_work_seconds",
      m_gateway.mean_service_time_us() / 1e6);
  add("citrongrade_target_long_run_seconds", m_gateway.long_run_us() / 1e6);
  add("citrongrade_target_connections_opened_total",
      static_cast<double>(m_target_pool.opened_count()));
  add("citrongrade_held_ranges",
      static_cast<double>(m_target_controller.held_range_count()));
  add("citrongrade_is_leader", m_agent.is_leader() ? 1 : 0);
  add("citrongrade_epoch", static_cast<double>(m_agent.view().epoch()));
  add("citrongrade_lease_left_seconds",
      std::chrono::duration<double>(m_agent.lease_until() - m_clock.Now())
          .count());
  add("citrongrade_longest_lease_seconds",
      std::chrono::duration<double>(m_agent.max_lease()).count());
  add("citrongrade_config_version", static_cast<double>(m_config.version()));
  add("citrongrade_config_newest_known_version",
      static_cast<double>(m_config.newest_known()));
  add("citrongrade_store_calls_total",
      static_cast<double>(m_store.counts().calls));
  add("citrongrade_store_calls_failed_total",
      static_cast<double>(m_store.counts().failed));
  add("citrongrade_members",
      static_cast<double>(m_agent.view().members().size()));
  return text;
}

RouterNode::RouterNode(const RouterSettings& settings,
                       const platform::SettingsFile& file)
    : m_implementation(std::make_unique<Implementation>(settings, file)) {}

RouterNode::~RouterNode() = default;

void RouterNode::Run() {
  m_implementation->Run();
}

}  // namespace citrongrade
