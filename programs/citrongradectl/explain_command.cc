#include "programs/citrongradectl/explain_command.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>

#include "programs/citrongradectl/command_context.h"
#include "programs/citrongradectl/ctl_errors.h"
#include "programs/citrongradectl/ctl_settings.h"
#include "programs/citrongradectl/request_timeline.h"
#include "programs/citrongradectl/text_table.h"

namespace citrongrade {

using nlohmann::ordered_json;

namespace {

RequestTimeline ReadLogs(const std::string& request_id,
                         const std::vector<std::string>& paths) {
  RequestTimeline timeline(request_id);
  for (const std::string& path : paths) {
    std::ifstream log(path);
    if (!log)
      throw UnreadableFileError(path + ": can't be read");
    timeline.AddLog(std::filesystem::path(path).stem().string(), log);
  }
  return timeline;
}

// All that a line says beside what has a column of its own.
std::string Details(const RequestTimeline::Entry& entry) {
  static const std::set<std::string> kColumns{"time", "level", "event", "id",
                                              "left_out"};
  std::string details;
  for (const auto& [name, value] : entry.fields) {
    if (kColumns.contains(name))
      continue;
    details.append(details.empty() ? "" : " ");
    details.append(name).append("=").append(value);
  }
  return details;
}

ordered_json ToJson(const RequestTimeline& timeline) {
  ordered_json entries = ordered_json::array();
  for (const RequestTimeline::Entry& entry : timeline.entries())
    entries.push_back({{"log", entry.log}, {"fields", entry.fields}});
  return {{"verdict", timeline.Verdict()},
          {"left_out", timeline.left_out()},
          {"entries", entries}};
}

void PrintText(const RequestTimeline& timeline, std::ostream& out) {
  TextTable table({"TIME", "NODE", "EVENT", "ID", "DETAILS"});
  for (const RequestTimeline::Entry& entry : timeline.entries()) {
    table.AddRow({entry.time, entry.log, entry.event, entry.Field("id"),
                  Details(entry)});
  }
  if (!table.empty())
    table.Print(out);
  out << (timeline.Verdict().empty() ? "no line of these logs is about it"
                                     : timeline.Verdict())
      << '\n';
  if (timeline.left_out() > 0) {
    out << "these logs leave out " << timeline.left_out()
        << " lines, of all requests, for their rate\n";
  }
}

}  // namespace

const char* ExplainCommand::Name() const {
  return "explain";
}

const char* ExplainCommand::Description() const {
  return "tell from saved logs of nodes what became of a request";
}

const char* ExplainCommand::Examples() const {
  return "A log's file name, less its ending, stands for its node.\n"
         "Example:\n  citrongradectl explain 9c41d07be2a35f68 logs/*.log";
}

void ExplainCommand::AddOptions(CLI::App& app) {
  app.add_option("request-id", m_request_id, "id of the caller's attempt")
      ->required();
  app.add_option("logs", m_paths, "saved standard output of nodes, one a file")
      ->required();
}

ExitCode ExplainCommand::Run(CommandContext& context) {
  const RequestTimeline timeline = ReadLogs(m_request_id, m_paths);
  if (context.settings().json)
    context.PrintJson(ToJson(timeline));
  else
    PrintText(timeline, context.out());
  return timeline.entries().empty() ? ExitCode::kFailed : ExitCode::kOk;
}

}  // namespace citrongrade
