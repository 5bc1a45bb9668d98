#include <spdlog/spdlog.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <thread>

#include "modules/coordination/steady_clock.h"
#include "modules/transport/http_handler.h"
#include "modules/transport/http_server.h"
#include "modules/transport/http_server_settings.h"
#include "programs/citrongrade-target-standin/announcer.h"
#include "programs/citrongrade-target-standin/freeze_gate.h"
#include "programs/citrongrade-target-standin/service_time.h"
#include "programs/citrongrade-target-standin/target_service.h"
#include "programs/citrongrade-target-standin/target_settings.h"
#include "programs/support/run_program.h"
#include "programs/support/settings_reader.h"
#include "programs/support/termination_signal.h"

namespace citrongrade {

namespace {

constexpr std::chrono::milliseconds kDrainPoll(50);
// Connections beside those of the node: controls, cancels, health.
constexpr unsigned kControlConnections = 16;

void AddPlaceSettings(SettingsReader& reader, TargetSettings& settings) {
  reader.Add("--listen-address", settings.listen_address, "ip:port to serve");
  reader.Add("--node-address", settings.node_address,
             "control address of this host's node; none: no announcements");
  reader.Add("--announce-interval-ms", settings.announce_interval,
             "time between announcements");
  reader.Add("--name", settings.name, "how runs name it; else its address");
  reader.Add("--workspace", settings.workspace, "workspace served");
  reader.Add("--service", settings.service, "service served");
  reader.Add("--report-runs-to", settings.report_runs_to,
             "address of a collector that is told of each run's start");
  reader.Add("--max-run-records", settings.max_run_records,
             "runs remembered for GET /v1/runs");
}

void AddWorkSettings(SettingsReader& reader, TargetSettings& settings) {
  reader.Add("--slots", settings.slots, "requests that run at once");
  reader.Add("--connections", settings.connections, "connections accepted");
  reader.Add("--queue-length", settings.queue_length,
             "requests that wait for a slot; more are shed");
  reader.AddSwitch("--checks-grants", settings.checks_grants,
                   "refuse work with an older epoch or a lapsed lease");
  reader.Add("--service-time-us", settings.service_time_us, "mean run time");
  reader.Add("--service-time-shape", settings.service_time_shape,
             "fixed, exponential or lognormal");
  reader.Add("--long-share", settings.long_share, "share of long work, 0 to 1");
  reader.Add("--long-time-us", settings.long_time_us, "mean of long work");
  reader.Add("--seed", settings.seed, "seed of the run times");
  reader.Add("--start-delay-ms", settings.start_delay,
             "refuse work for so long after the start");
  reader.Add("--cold-ms", settings.cold, "be slow for so long after that");
  reader.Add("--cold-factor", settings.cold_factor, "how slow at first");
}

void AddRules(SettingsReader& reader, const TargetSettings& settings) {
  reader.AddRule([&] { return settings.slots > 0; }, "--slots must be above 0");
  reader.AddRule([&] { return settings.connections > 0; },
                 "--connections must be above 0");
  reader.AddRule([&] { return settings.announce_interval.count() > 0; },
                 "--announce-interval-ms must be above 0");
  reader.AddRule(
      [&] { return settings.long_share >= 0 && settings.long_share <= 1; },
      "--long-share must be from 0 to 1");
  reader.AddRule([&] { return settings.cold_factor >= 1; },
                 "--cold-factor must be 1 or more");
  reader.AddRule(
      [&] { return ServiceTime::IsShape(settings.service_time_shape); },
      "--service-time-shape must be fixed, exponential or lognormal");
}

// The real port is known only once the server listens, and the service needs
// its name before that.
class LateHandler final : public HttpHandler {
 public:
  void Handle(HttpExchange& exchange) override {
    TargetService* service = m_service;
    if (service != nullptr)
      service->Handle(exchange);
  }

  void Set(TargetService* service) { m_service = service; }

 private:
  std::atomic<TargetService*> m_service = nullptr;
};

void DrainAndStop(const TerminationSignal& termination,
                  TargetService& service,
                  Announcer* announcer) {
  bool terminated = false;
  while (service.state() != TargetState::kDraining && !terminated)
    terminated = termination.WaitFor(kDrainPoll);
  if (terminated)
    service.BeginDrain();
  if (announcer != nullptr)
    announcer->AnnounceNow();
  // Drained by a control, it stays to answer "draining" until it is stopped.
  if (!terminated)
    termination.Wait();
  while (service.RequestsInside() > 0)
    std::this_thread::sleep_for(kDrainPoll);
  spdlog::info("event=stopping");
}

int Run(int argc, char** argv) {
  SettingsReader reader("Stand-in for a server that owns keys exclusively");
  TargetSettings settings;
  AddPlaceSettings(reader, settings);
  AddWorkSettings(reader, settings);
  AddRules(reader, settings);
  if (!reader.Read(argc, argv))
    return EXIT_SUCCESS;

  const TerminationSignal termination;
  const SteadyClock clock;
  FreezeGate freeze_gate;
  LateHandler handler;
  HttpServerSettings server_settings;
  server_settings.address = settings.listen_address;
  server_settings.thread_count = settings.connections + kControlConnections;
  HttpServer server(server_settings, handler);
  if (settings.name.empty())
    settings.name = server.address().ToString();
  TargetService service(settings, settings.name, clock, freeze_gate);
  handler.Set(&service);
  std::unique_ptr<Announcer> announcer;
  if (settings.node_address.port != 0) {
    announcer = std::make_unique<Announcer>(settings, server.address(), service,
                                            freeze_gate);
  }
  spdlog::info("event=listening address={} name={}",
               server.address().ToString(), settings.name);
  DrainAndStop(termination, service, announcer.get());
  freeze_gate.Open();
  announcer.reset();
  server.Stop();
  return EXIT_SUCCESS;
}

}  // namespace

}  // namespace citrongrade

int main(int argc, char** argv) {
  return citrongrade::RunProgram(citrongrade::Run, argc, argv);
}
