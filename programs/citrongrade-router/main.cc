#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "platform/settings_file.h"
#include "programs/citrongrade-router/router_node.h"
#include "programs/citrongrade-router/router_settings.h"
#include "programs/support/logging_setup.h"
#include "programs/support/settings_error.h"
#include "programs/support/settings_reader.h"

namespace citrongrade {

namespace {

// Lines in the queue to the logging thread. When it is full, the oldest lines
// are dropped: a slow reader of the log must not block the node.
constexpr std::size_t kLogQueueLength = 256;

void SetUpAsyncLogging(bool verbose) {
  spdlog::init_thread_pool(kLogQueueLength, 1);
  auto logger =
      spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("router");
  logger->set_pattern(kLogPattern);
  if (verbose)
    logger->set_level(spdlog::level::debug);
  spdlog::set_default_logger(std::move(logger));
}

void AddSettings(SettingsReader& reader, RouterSettings& settings) {
  const char* file = std::getenv(platform::kSettingsFileVariable);
  if (file != nullptr)
    settings.settings_file = file;
  reader.Add("--settings-file", settings.settings_file,
             "path of the platform's settings file; default: the path in the "
             "platform's environment variable");
  reader.AddRule([&settings] { return !settings.settings_file.empty(); },
                 "--settings-file must be set");
  reader.Add("--published-ip", settings.published_ip,
             "address at which other nodes reach this one; default: its own");
  reader.AddSwitch("--check-settings", settings.check_only,
                   "check the settings, report errors, and exit");
  reader.AddSwitch("--verbose", settings.verbose, "log debug events too");
  reader.Add("--log-failures-per-second", settings.log_failures_per_second,
             "log lines for each event of requests that were not served");
  reader.Add("--log-successes-per-second", settings.log_successes_per_second,
             "log lines for each event of requests that were served");
  reader.Add("--settings-check-ms", settings.settings_check_interval,
             "how often the settings file is checked for changes");
  reader.Add("--contended-capacity", settings.contended_capacity,
             "whether callers compete for capacity, so that slots are kept for "
             "short calls: on, off, or auto, as the platform's settings file "
             "says");
  reader.AddRule(
      [&settings] {
        return settings.contended_capacity == "auto" ||
               settings.contended_capacity == "on" ||
               settings.contended_capacity == "off";
      },
      "--contended-capacity must be on, off or auto");
  reader.Add(
      "--max-body-bytes", settings.max_body_bytes,
      "largest request body, where the configuration allows a larger one");
}

int Run(int argc, char** argv) {
  SettingsReader reader("Router process for one target of the platform");
  RouterSettings settings;
  AddSettings(reader, settings);
  if (!reader.Read(argc, argv))
    return EXIT_SUCCESS;
  const auto file = platform::SettingsFile::Read(settings.settings_file);
  if (settings.check_only) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  SetUpAsyncLogging(settings.verbose);
  // Otherwise a write to a connection that its peer has closed would end the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  {
    RouterNode node(settings, file);
    node.Run();
  }
  spdlog::shutdown();
  return EXIT_SUCCESS;
}

}  // namespace

}  // namespace citrongrade

int main(int argc, char** argv) {
  try {
    return citrongrade::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "event=start-failed reason=\"" << error.what() << "\"\n";
    return EXIT_FAILURE;
  }
}
