#include "programs/citrongradectl/diff_command.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

#include "modules/protocol/declaration_set.h"
#include "modules/protocol/mesh_json.h"
#include "programs/citrongradectl/command_context.h"
#include "programs/citrongradectl/config_diff.h"
#include "programs/citrongradectl/declaration_loader.h"
#include "programs/citrongradectl/declarations_in_force.h"
#include "programs/citrongradectl/mesh_reader.h"

namespace citrongrade {

using nlohmann::ordered_json;

namespace {

ordered_json ToJson(const ConfigDiff& diff) {
  ordered_json changes = ordered_json::array();
  for (const ConfigDiff::FieldChange& change : diff.changes) {
    changes.push_back({{"field", change.field},
                       {"in_force", change.in_force},
                       {"declared", change.declared}});
  }
  return {{"kind", MeshJson::Write(diff.kind)},
          {"name", diff.name},
          {"status", ConfigDiff::ToText(diff.status)},
          {"version", diff.version.value()},
          {"changes", changes}};
}

void PrintText(const ConfigDiff& diff, std::ostream& out) {
  out << ConfigDiff::ToText(diff.status) << " " << MeshJson::Write(diff.kind)
      << " " << diff.name;
  if (diff.version.value() > 0) {
    out << " (in force: version " << diff.version.value() << ")";
  }
  out << '\n';
  for (const ConfigDiff::FieldChange& change : diff.changes) {
    if (!change.in_force.empty()) {
      out << "  - " << change.field << ": " << change.in_force << '\n';
    }
    if (!change.declared.empty()) {
      out << "  + " << change.field << ": " << change.declared << '\n';
    }
  }
}

}  // namespace

const char* DiffCommand::Name() const {
  return "diff";
}

const char* DiffCommand::Description() const {
  return "compare declarations with what is in force";
}

const char* DiffCommand::Examples() const {
  return "Example:\n  citrongradectl diff declarations/ --log-address "
         "127.0.0.1:9000";
}

void DiffCommand::AddOptions(CLI::App& app) {
  app.add_option("paths", m_paths, "files, or directories of *.yaml")
      ->required();
}

ExitCode DiffCommand::Run(CommandContext& context) {
  const std::vector<DeclarationFile> files = DeclarationLoader::Load(m_paths);
  const MeshState& state = context.ReadLog().state();
  const DeclarationSet set =
      DeclarationSet::Read(files, DeclarationsInForce::Templates(state));
  const std::vector<ConfigDiff> diffs =
      ConfigDiff::Compare(set.declarations(), state);
  ordered_json list = ordered_json::array();
  for (const ConfigDiff& diff : diffs) {
    list.push_back(ToJson(diff));
    if (!context.settings().json) {
      PrintText(diff, context.out());
    }
  }
  if (context.settings().json) {
    context.PrintJson(list);
  }
  const bool differs =
      std::any_of(diffs.begin(), diffs.end(), [](const ConfigDiff& diff) {
        return diff.status == ConfigDiff::Status::kNew ||
               diff.status == ConfigDiff::Status::kChanged;
      });
  return differs ? ExitCode::kDiffers : ExitCode::kOk;
}

}  // namespace citrongrade
