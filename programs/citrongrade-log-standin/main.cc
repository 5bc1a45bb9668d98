#include <spdlog/spdlog.h>

#include <cstdlib>

#include "modules/coordination/steady_clock.h"
#include "modules/transport/http_server.h"
#include "modules/transport/http_server_settings.h"
#include "programs/citrongrade-log-standin/log_service.h"
#include "programs/citrongrade-log-standin/log_standin_settings.h"
#include "programs/support/run_program.h"
#include "programs/support/settings_reader.h"
#include "programs/support/termination_signal.h"

namespace citrongrade {

namespace {

void AddSettings(SettingsReader& reader, LogStandinSettings& settings) {
  reader.Add("--listen-address", settings.listen_address, "ip:port to serve");
  reader.Add("--threads", settings.threads,
             "connections served at once, waiting readers included");
  reader.AddSwitch("--outage", settings.faults.outage, "answer 503 to all");
  reader.Add("--delay-ms", settings.faults.delay, "wait before each call");
  reader.Add("--lose-answers", settings.faults.lose_answers,
             "appends that take effect and are not answered");
  reader.Add("--max-appends-per-second", settings.faults.max_appends_per_second,
             "appends above are answered 503; 0: no limit");
  reader.Add("--retention-records", settings.faults.retention_records,
             "records kept in each stream");
  reader.AddRule([&settings] { return settings.threads > 0; },
                 "--threads must be above 0");
  reader.AddRule([&settings] { return settings.faults.retention_records > 0; },
                 "--retention-records must be above 0");
}

int Run(int argc, char** argv) {
  SettingsReader reader("Stand-in for the platform's append-only log");
  LogStandinSettings settings;
  AddSettings(reader, settings);
  if (!reader.Read(argc, argv))
    return EXIT_SUCCESS;

  const TerminationSignal termination;
  const SteadyClock clock;
  LogService service(clock, settings.faults);
  HttpServerSettings server_settings;
  server_settings.address = settings.listen_address;
  server_settings.thread_count = settings.threads;
  HttpServer server(server_settings, service);
  spdlog::info("event=listening address={}", server.address().ToString());
  termination.Wait();
  spdlog::info("event=stopping");
  service.Close();
  server.Stop();
  return EXIT_SUCCESS;
}

}  // namespace

}  // namespace citrongrade

int main(int argc, char** argv) {
  return citrongrade::RunProgram(citrongrade::Run, argc, argv);
}
