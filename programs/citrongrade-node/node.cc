#include "programs/citrongrade-node/node.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "modules/coordination/coordinator_settings.h"
#include "modules/coordination/ownership_board.h"
#include "modules/coordination/steady_clock.h"
#include "modules/protocol/config_rules.h"
#include "modules/protocol/config_settings_resolver.h"
#include "modules/protocol/json_snapshot_codec.h"
#include "modules/transport/caller_handler.h"
#include "modules/transport/control_handler.h"
#include "modules/transport/coordinator_thread.h"
#include "modules/transport/data_rpc_client.h"
#include "modules/transport/data_rpc_server.h"
#include "modules/transport/http_platform_log.h"
#include "modules/transport/http_server.h"
#include "modules/transport/http_server_settings.h"
#include "modules/transport/json_log_record_codec.h"
#include "modules/transport/log_reader_thread.h"
#include "modules/transport/log_writer_thread.h"
#include "modules/transport/node_dump.h"
#include "modules/transport/node_metrics.h"
#include "modules/transport/own_sockets.h"
#include "modules/transport/peer_rpc_sender.h"
#include "modules/transport/peer_rpc_server.h"
#include "modules/transport/route_chooser.h"
#include "modules/transport/rpc_loop.h"
#include "modules/transport/target_dispatcher.h"
#include "programs/citrongrade-node/node_settings.h"
#include "programs/support/termination_signal.h"

namespace citrongrade {

namespace {

constexpr std::chrono::milliseconds kWatchInterval{100};
constexpr std::chrono::milliseconds kLogTimeout{3000};
// Nothing was in flight for so long before a stopped node exits.
constexpr std::chrono::milliseconds kQuietBeforeExit{500};
constexpr std::chrono::milliseconds kQuietCheckInterval{10};
constexpr std::size_t kLoopRing = 8192;

constexpr unsigned kControlThreads = 16;
// Twice what CallerHandler takes, so that it, and not the library, answers.
constexpr std::size_t kLibraryHeaderBytes = std::size_t{64} * 1024;

// Equal for all processes of one boot of the host.
std::string ReadBootId() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  file >> id;
  return id;
}

std::unique_ptr<PlatformLog> OpenLog(const NodeSettings& settings) {
  return std::make_unique<HttpPlatformLog>(
      settings.log_address, settings.log_stream,
      std::make_shared<const JsonLogRecordCodec>(), kLogTimeout);
}

HttpServerSettings CallerServerSettings(const NodeSettings& settings) {
  HttpServerSettings server;
  server.address = settings.caller_address;
  server.thread_count = settings.caller_threads;
  server.connection_queue_size = settings.caller_threads;
  server.max_header_bytes = kLibraryHeaderBytes;
  return server;
}

HttpServerSettings ControlServerSettings(const NodeSettings& settings) {
  HttpServerSettings server;
  server.address = settings.control_address;
  server.thread_count = kControlThreads;
  return server;
}

}  // namespace

// The members stand in order of use: each uses only those above it.
class Node::Implementation final : public ControlHandler::DumpSource {
 public:
  explicit Implementation(const NodeSettings& settings);

  std::string Dump() override;
  bool Run(const TerminationSignal& termination);

 private:
  // Begins or ends the membership as the target comes or goes.
  void FollowTarget();
  JoinRecord MakeAnnouncement(const TargetAnnouncement& target) const;
  bool LeaveAndFinish();

  const NodeSettings m_settings;
  const std::string m_boot_id = ReadBootId();
  const SteadyClock m_clock{};
  const ConfigRules m_config_rules{};
  const ConfigSettingsResolver m_settings_resolver{};
  const JsonSnapshotCodec m_snapshot_codec{};
  NodeMetrics m_metrics;
  RpcLoop m_data_loop{"data-rpc", kLoopRing};
  RpcLoop m_control_loop{"control-rpc", kLoopRing};
  OwnershipBoard m_board{m_clock};
  TargetDispatcher m_dispatcher{m_clock, m_board};
  DataRpcServer m_data_server;
  DataRpcClient m_data_client;
  PeerRpcSender m_peer_sender{m_control_loop};
  // The writer reports to the coordinator's thread, which is made after it.
  CoordinatorThread* m_coordinator_pointer = nullptr;
  LogWriterThread m_log_writer;
  CoordinatorThread m_coordinator;
  PeerRpcServer m_peer_server;
  LogReaderThread m_log_reader;
  RouteChooser m_chooser;
  CallerHandler m_caller_handler;
  ControlHandler m_control_handler;
  HttpServer m_caller_server;
  HttpServer m_control_server;
};

Node::Implementation::Implementation(const NodeSettings& settings)
    : m_settings(settings),
      m_data_server(m_data_loop,
                    m_clock,
                    m_dispatcher,
                    settings.data_address.ToString()),
      m_data_client(m_data_loop, m_clock, DataRpcClient::Settings()),
      m_log_writer(OpenLog(settings),
                   [this](const RecordId& id) {
                     m_coordinator_pointer->OnAppendFailed(id);
                   }),
      m_coordinator({m_clock, m_log_writer, m_peer_sender, m_config_rules,
                     m_settings_resolver, m_snapshot_codec, m_board},
                    CoordinatorSettings()),
      m_peer_server(m_control_loop,
                    settings.peer_address.ToString(),
                    [this](const PeerMessage& message) {
                      m_coordinator.Deliver(message);
                    }),
      m_log_reader(OpenLog(settings), m_coordinator),
      m_chooser(m_clock, m_board, AvailabilityZone(settings.zone)),
      m_caller_handler({m_clock, m_board, m_chooser, m_dispatcher,
                        m_data_client, m_metrics}),
      m_control_handler(m_dispatcher, m_board, m_metrics, *this),
      m_caller_server(CallerServerSettings(settings), m_caller_handler),
      m_control_server(ControlServerSettings(settings), m_control_handler) {
  m_coordinator_pointer = &m_coordinator;
  spdlog::info("event=listening node={} callers={} control={} data={} peers={}",
               settings.node_id, settings.caller_address.ToString(),
               settings.control_address.ToString(),
               settings.data_address.ToString(),
               settings.peer_address.ToString());
}

std::string Node::Implementation::Dump() {
  NodeDump dump;
  dump.node = m_settings.node_id;
  dump.availability_zone = m_settings.zone;
  dump.requests_in_flight = m_caller_handler.in_flight();
  dump.ready = m_board.IsReady();
  dump.coordinator = m_coordinator.Dump();
  dump.dispatcher = m_dispatcher.GetStatus();
  dump.data_rpc = m_data_client.GetStatus();
  return dump.ToJson();
}

bool Node::Implementation::Run(const TerminationSignal& termination) {
  while (!termination.WaitFor(kWatchInterval)) {
    if (m_control_handler.drain_requested())
      break;
    if (m_coordinator.is_superseded()) {
      spdlog::error("event=superseded node={}", m_settings.node_id);
      return false;
    }
    FollowTarget();
  }
  return LeaveAndFinish();
}

void Node::Implementation::FollowTarget() {
  const TargetDispatcher::Status status = m_dispatcher.GetStatus();
  if (!status.target)
    return;
  const bool serves =
      status.target->state == TargetAnnouncement::State::kServing &&
      status.since_announced < TargetDispatcher::kAnnouncementTimeout;
  if (serves) {
    m_coordinator.Join(MakeAnnouncement(*status.target));
  } else if (m_coordinator.is_member()) {
    m_coordinator.Leave();
  }
}

JoinRecord Node::Implementation::MakeAnnouncement(
    const TargetAnnouncement& target) const {
  JoinRecord record;
  record.node = NodeId(m_settings.node_id);
  record.availability_zone = AvailabilityZone(m_settings.zone);
  record.caller_address = m_settings.caller_address.ToString();
  record.control_address = m_settings.control_address.ToString();
  record.data_address = m_settings.data_address.ToString();
  record.peer_address = m_settings.peer_address.ToString();
  record.boot_id = m_boot_id;
  record.service = target.service;
  record.target_slots = target.concurrency;
  record.target_connections = target.connections;
  record.target_checks_grants = target.checks_grants;
  return record;
}

bool Node::Implementation::LeaveAndFinish() {
  spdlog::info("event=leaving node={}", m_settings.node_id);
  const Clock::TimePoint until = m_clock.Now() + m_settings.drain_timeout;
  m_coordinator.Leave();
  while (m_coordinator.is_member() && m_clock.Now() < until)
    std::this_thread::sleep_for(kWatchInterval);
  // Until here callers' requests were passed on to the slots' new owners.
  m_caller_handler.StopTaking();
  StopListening(m_settings.caller_address.ToString());
  // Connections that were accepted may still bring a request, to be refused.
  Clock::TimePoint quiet_since = m_clock.Now();
  while (m_clock.Now() < until &&
         m_clock.Now() - quiet_since < kQuietBeforeExit) {
    std::this_thread::sleep_for(kQuietCheckInterval);
    if (m_caller_handler.in_flight() > 0 || !m_dispatcher.IsIdle())
      quiet_since = m_clock.Now();
  }
  const bool finished = !m_coordinator.is_member() &&
                        m_caller_handler.in_flight() == 0 &&
                        m_dispatcher.IsIdle();
  spdlog::info("event=left node={} finished={}", m_settings.node_id, finished);
  return finished;
}

Node::Node(const NodeSettings& settings)
    : m_implementation(std::make_unique<Implementation>(settings)) {}

Node::~Node() = default;

bool Node::Run(const TerminationSignal& termination) {
  return m_implementation->Run(termination);
}

}  // namespace citrongrade
