#include <spdlog/spdlog.h>

#include <cstdlib>
#include <string>

#include "programs/citrongrade-node/node.h"
#include "programs/citrongrade-node/node_settings.h"
#include "programs/support/run_program.h"
#include "programs/support/settings_reader.h"
#include "programs/support/termination_signal.h"

namespace citrongrade {

namespace {

void AddAddress(SettingsReader& reader,
                const std::string& flag,
                HttpAddress& address,
                const char* help) {
  reader.Add(flag, address, help);
  reader.AddRule([&address] { return address.port != 0; },
                 flag + " must be set to ip:port");
}

void AddSettings(SettingsReader& reader, NodeSettings& settings) {
  reader.Add("--node-id", settings.node_id, "identity of this host");
  reader.AddRule([&settings] { return !settings.node_id.empty(); },
                 "--node-id must be set");
  reader.Add("--zone", settings.zone, "availability zone of this host");
  reader.AddRule([&settings] { return !settings.zone.empty(); },
                 "--zone must be set");
  AddAddress(reader, "--caller-address", settings.caller_address,
             "ip:port for callers' HTTP");
  AddAddress(reader, "--control-address", settings.control_address,
             "ip:port for the target and operators");
  AddAddress(reader, "--data-address", settings.data_address,
             "ip:port for requests of other nodes");
  AddAddress(reader, "--peer-address", settings.peer_address,
             "ip:port for leases and request ids of other nodes");
  AddAddress(reader, "--log-address", settings.log_address,
             "ip:port of the platform's log");
  reader.Add("--log-stream", settings.log_stream, "stream of this mesh");
  reader.AddRule([&settings] { return !settings.log_stream.empty(); },
                 "--log-stream must not be empty");
  reader.Add("--caller-threads", settings.caller_threads,
             "callers' connections served at once");
  reader.AddRule([&settings] { return settings.caller_threads > 0; },
                 "--caller-threads must be above 0");
  reader.Add("--drain-timeout-ms", settings.drain_timeout,
             "longest time that a stop takes");
  reader.AddSwitch("--verbose", settings.verbose, "log debug events too");
}

int Run(int argc, char** argv) {
  SettingsReader reader("Router process beside one target");
  NodeSettings settings;
  AddSettings(reader, settings);
  if (!reader.Read(argc, argv))
    return EXIT_SUCCESS;
  if (settings.verbose)
    spdlog::set_level(spdlog::level::debug);
  const TerminationSignal termination;
  Node node(settings);
  return node.Run(termination) ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

}  // namespace citrongrade

int main(int argc, char** argv) {
  return citrongrade::RunProgram(citrongrade::Run, argc, argv);
}
