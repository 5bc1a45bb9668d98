#include "programs/citrongradectl/history_command.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <ostream>

#include "modules/protocol/mesh_json.h"
#include "programs/citrongradectl/command_context.h"
#include "programs/citrongradectl/mesh_reader.h"
#include "programs/citrongradectl/text_table.h"

namespace citrongrade {

using nlohmann::ordered_json;

namespace {

std::string Outcome(const ConfigChange& change) {
  if (change.result.accepted()) {
    return "accepted";
  }
  return "refused: " + change.result.detail;
}

}  // namespace

const char* HistoryCommand::Name() const {
  return "history";
}

const char* HistoryCommand::Description() const {
  return "list changes of configuration, accepted and refused";
}

const char* HistoryCommand::Examples() const {
  return "Reaches back as far as the log keeps its records. Exits with 5 when\n"
         "--record names one that is not there.\n"
         "Examples:\n  citrongradectl history porto-amarracao/berth-board\n"
         "  citrongradectl history --record 5e0c...";
}

void HistoryCommand::AddOptions(CLI::App& app) {
  app.add_option("name", m_name, "only of this template or service");
  app.add_option("--record", m_record, "only the record with this id");
}

ExitCode HistoryCommand::Run(CommandContext& context) {
  const MeshReader& reader = context.ReadLog();
  ordered_json list = ordered_json::array();
  TextTable table(
      {"offset", "kind", "name", "based on", "operator", "outcome"});
  for (const ConfigChange& change : reader.changes()) {
    const bool wanted = (m_name.empty() || change.record.name == m_name) &&
                        (m_record.empty() || change.id == RecordId(m_record));
    if (!wanted) {
      continue;
    }
    const std::string offset = std::to_string(change.offset.value());
    const std::string kind = MeshJson::Write(change.record.kind);
    table.AddRow({offset, kind, change.record.name,
                  std::to_string(change.record.based_on.value()),
                  change.record.operator_name, Outcome(change)});
    list.push_back({{"offset", change.offset.value()},
                    {"record", change.id.value()},
                    {"kind", kind},
                    {"name", change.record.name},
                    {"based_on", change.record.based_on.value()},
                    {"operator", change.record.operator_name},
                    {"accepted", change.result.accepted()},
                    {"detail", change.result.detail}});
  }
  if (context.settings().json) {
    context.PrintJson(list);
  } else {
    table.Print(context.out());
  }
  const bool missing = !m_record.empty() && table.empty();
  return missing ? ExitCode::kUnknown : ExitCode::kOk;
}

}  // namespace citrongrade
