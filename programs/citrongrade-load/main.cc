#include <spdlog/spdlog.h>

#include <cstdlib>
#include <iostream>

#include "programs/citrongrade-load/load_report.h"
#include "programs/citrongrade-load/load_run.h"
#include "programs/citrongrade-load/load_settings.h"
#include "programs/support/run_program.h"
#include "programs/support/settings_reader.h"

namespace citrongrade {

namespace {

constexpr int kPromiseBroken = 1;
constexpr int kStartFailed = 2;

void AddPlaceSettings(SettingsReader& reader, LoadSettings& settings) {
  reader.Add("--nodes", settings.nodes, "nodes' caller addresses, by commas");
  reader.Add("--service", settings.service, "workspace/service to call");
  reader.AddParsed("--key-in", "query:key",
                   "none, path, header:NAME or query:NAME",
                   [&settings](const std::string& text) {
                     settings.key_place = KeyPlace::Parse(text);
                   });
  reader.Add("--direct", settings.direct, "targets to compare with, by commas");
  reader.Add("--direct-share", settings.direct_share,
             "share of reads that go straight to a target");
  reader.Add("--collect-address", settings.collect_address,
             "where targets report their runs");
  reader.Add("--targets", settings.targets,
             "targets whose runs are read at the end, without a collector");
  reader.Add("--workers", settings.workers, "workers that share the work");
  reader.Add("--settle-ms", settings.settle,
             "wait for late reports of runs at the end");
  reader.AddSwitch("--json", settings.json, "print the report as JSON");
}

void AddTrafficSettings(SettingsReader& reader, LoadSettings& settings) {
  reader.Add("--calls-per-second", settings.calls_per_second, "mean rate");
  reader.Add("--duration-ms", settings.duration, "time in which calls begin");
  reader.Add("--burst-every-ms", settings.burst_every, "0: no bursts");
  reader.Add("--burst-ms", settings.burst, "length of each burst");
  reader.Add("--burst-factor", settings.burst_factor, "rate in a burst");
  reader.Add("--seed", settings.seed, "seed of arrivals, keys and callers");
  reader.Add("--keys", settings.keys, "number of keys");
  reader.Add("--key-skew", settings.key_skew, "Zipf exponent of the keys");
  reader.Add("--callers", settings.callers, "number of callers");
  reader.Add("--caller-skew", settings.caller_skew,
             "Zipf exponent of the callers");
  reader.Add("--protected-share", settings.protected_share,
             "share of calls that must run at most once");
  reader.Add("--upload-share", settings.upload_share, "share of uploads");
  reader.Add("--download-share", settings.download_share, "share of downloads");
  reader.Add("--read-bytes", settings.read_bytes, "answer of a small read");
  reader.Add("--upload-bytes", settings.upload_bytes, "body of an upload");
  reader.Add("--download-bytes", settings.download_bytes,
             "answer of a download");
  reader.Add("--deadline-ms", settings.deadline, "time that callers wait");
  reader.AddSwitch("--resends", settings.resends,
                   "send again, with the same id, what was not done");
  reader.Add("--max-attempts", settings.max_attempts, "attempts of one call");
  reader.AddSwitch("--states-first-attempt", settings.states_first_attempt,
                   "tell the system which attempts are the first");
  reader.AddSwitch("--trusts-status", settings.trusts_status,
                   "take a 2xx without an outcome for done");
  reader.Add("--senders", settings.senders, "calls under way at most");
}

void AddRules(SettingsReader& reader, const LoadSettings& settings) {
  const auto is_positive = [&reader](const auto& value, const char* flag) {
    reader.AddRule([&value] { return value > 0; },
                   std::string(flag) + " must be above 0");
  };
  is_positive(settings.calls_per_second, "--calls-per-second");
  is_positive(settings.keys, "--keys");
  is_positive(settings.callers, "--callers");
  is_positive(settings.max_attempts, "--max-attempts");
  is_positive(settings.senders, "--senders");
  reader.AddRule([&] { return !settings.nodes.empty(); },
                 "--nodes must name a node");
  reader.AddRule(
      [&] { return settings.direct_share == 0 || !settings.direct.empty(); },
      "--direct-share needs --direct");
  reader.AddRule(
      [&] {
        return settings.protected_share + settings.upload_share +
                   settings.download_share + settings.direct_share <=
               1;
      },
      "the shares must not exceed 1 together");
}

int Run(int argc, char** argv) {
  SettingsReader reader("Open-loop callers that check what they are promised");
  LoadSettings settings;
  AddPlaceSettings(reader, settings);
  AddTrafficSettings(reader, settings);
  AddRules(reader, settings);
  if (!reader.Read(argc, argv))
    return EXIT_SUCCESS;
  LoadRun run(settings);
  spdlog::info("event=load-begins service={} calls_per_second={} seed={}",
               settings.service, settings.calls_per_second, settings.seed);
  const LoadReport report = run.Play();
  std::cout << (settings.json ? report.ToJson() + "\n" : report.ToText());
  return report.broken.empty() ? EXIT_SUCCESS : kPromiseBroken;
}

}  // namespace

}  // namespace citrongrade

int main(int argc, char** argv) {
  return citrongrade::RunProgram(citrongrade::Run, argc, argv,
                                 citrongrade::kStartFailed);
}
