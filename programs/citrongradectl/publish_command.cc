#include "programs/citrongradectl/publish_command.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <ostream>

#include "modules/protocol/declaration_set.h"
#include "modules/protocol/invalid_declaration_error.h"
#include "modules/protocol/mesh_json.h"
#include "modules/state/mesh_state.h"
#include "programs/citrongradectl/command_context.h"
#include "programs/citrongradectl/config_diff.h"
#include "programs/citrongradectl/ctl_errors.h"
#include "programs/citrongradectl/declaration_loader.h"
#include "programs/citrongradectl/declarations_in_force.h"
#include "programs/citrongradectl/mesh_reader.h"
#include "programs/citrongradectl/write_report.h"

namespace citrongrade {

using nlohmann::ordered_json;

namespace {

const Declaration& FindDeclaration(const DeclarationSet& set,
                                   const ConfigDiff& diff) {
  return *std::find_if(set.declarations().begin(), set.declarations().end(),
                       [&diff](const Declaration& declaration) {
                         return declaration.kind == diff.kind &&
                                declaration.name == diff.name;
                       });
}

ordered_json ToJson(const ConfigRecord& record,
                    const WriteResult& result,
                    const WriteReport& report) {
  return {{"kind", MeshJson::Write(record.kind)},
          {"name", record.name},
          {"based_on", record.based_on.value()},
          {"status", report.status},
          {"offset", result.offset.value()},
          {"record", result.id.value()},
          {"message", report.message}};
}

}  // namespace

const char* PublishCommand::Name() const {
  return "publish";
}

const char* PublishCommand::Description() const {
  return "put declarations in force";
}

const char* PublishCommand::Examples() const {
  return "All files are checked first; one mistake, and nothing is written.\n"
         "Then each entry that differs is one record, templates first. If one\n"
         "is not accepted, those after it are not written; publishing the "
         "same\n"
         "files again goes on where it stopped.\n"
         "Examples:\n"
         "  citrongradectl publish declarations/ --operator ana --wait\n"
         "  citrongradectl publish sorteio.yaml --operator ana --based-on "
         "instituto-amostra-justa/sorteio=41";
}

void PublishCommand::AddOptions(CLI::App& app) {
  app.add_option("paths", m_paths, "files, or directories of *.yaml")
      ->required();
  app.add_option(
      "--based-on", m_based_on,
      "NAME=VERSION that your file was made from; refused if another "
      "is in force (default: what is in force now)");
  app.add_flag("--wait", m_wait, "wait until it is in force on all nodes");
  app.add_flag("--dry-run", m_dry_run, "check and list, write nothing");
}

bool PublishCommand::NeedsOperator() const {
  return true;
}

ExitCode PublishCommand::Run(CommandContext& context) {
  const std::string& operator_name = context.settings().operator_name;
  const VersionMap based_on = ReadBasedOn();
  const std::vector<DeclarationFile> files = DeclarationLoader::Load(m_paths);
  const MeshState& state = context.ReadLog().state();
  const DeclarationSet set =
      DeclarationSet::Read(files, DeclarationsInForce::Templates(state));
  std::vector<ConfigRecord> records;
  for (const ConfigDiff& diff :
       ConfigDiff::Compare(set.declarations(), state)) {
    const bool differs = diff.status == ConfigDiff::Status::kNew ||
                         diff.status == ConfigDiff::Status::kChanged;
    if (!differs) {
      continue;
    }
    const auto chosen = based_on.find(diff.name);
    records.push_back({diff.kind, diff.name,
                       chosen == based_on.end() ? diff.version : chosen->second,
                       FindDeclaration(set, diff).body, operator_name});
  }
  CheckAll(state, records);
  if (m_dry_run) {
    context.out() << records.size() << " records would be written\n";
    return ExitCode::kOk;
  }
  return WriteAll(context, records);
}

PublishCommand::VersionMap PublishCommand::ReadBasedOn() const {
  VersionMap versions;
  for (const std::string& text : m_based_on) {
    const std::size_t equals = text.find('=');
    std::uint64_t version = 0;
    const std::string digits =
        equals == std::string::npos ? "" : text.substr(equals + 1);
    const char* end = digits.data() + digits.size();
    const auto [rest, error] = std::from_chars(digits.data(), end, version);
    if (error != std::errc() || rest != end) {
      throw UsageError("--based-on " + text + ": is not NAME=VERSION");
    }
    versions[text.substr(0, equals)] = ConfigVersion(version);
  }
  return versions;
}

// Plays the records on a copy of the state, so that a set which would be
// refused halfway is refused before its first record is written. A version
// that has moved on is left to the log, which also tells who moved it.
void PublishCommand::CheckAll(const MeshState& state,
                              const std::vector<ConfigRecord>& records) const {
  MeshState copy = state;
  std::vector<DeclarationProblem> problems;
  for (const ConfigRecord& record : records) {
    const ApplyResult result =
        copy.Apply({copy.next_offset(), RecordId("check"), record});
    if (result.rejected == RejectReason::kInvalidConfig) {
      problems.push_back({record.name, 0, "", result.detail, ""});
    }
  }
  if (!problems.empty()) {
    throw InvalidDeclarationError("refused by the rules in force",
                                  std::move(problems));
  }
}

ExitCode PublishCommand::WriteAll(CommandContext& context,
                                  const std::vector<ConfigRecord>& records) {
  ordered_json list = ordered_json::array();
  ExitCode exit_code = ExitCode::kOk;
  LogOffset last;
  for (const ConfigRecord& record : records) {
    const WriteResult result = context.Write(record);
    const WriteReport report =
        WriteReport::OfConfig(result, record, context.LastState());
    list.push_back(ToJson(record, result, report));
    if (!context.settings().json) {
      context.out() << report.message << '\n';
    }
    exit_code = report.exit_code;
    if (exit_code != ExitCode::kOk) {
      break;
    }
    last = result.offset;
  }
  if (context.settings().json) {
    context.PrintJson({{"records", list}});
  } else if (records.empty()) {
    context.out() << "nothing to publish: all of it is in force\n";
  }
  const bool waits = m_wait && exit_code == ExitCode::kOk && last > LogOffset();
  if (waits && !context.WaitInForce(last)) {
    return ExitCode::kLagging;
  }
  return exit_code;
}

}  // namespace citrongrade
