#include "programs/citrongradectl/show_command.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <ostream>
#include <vector>

#include "modules/protocol/mesh_json.h"
#include "modules/protocol/nearest_name.h"
#include "modules/protocol/service_settings_codec.h"
#include "modules/state/mesh_state.h"
#include "programs/citrongradectl/command_context.h"
#include "programs/citrongradectl/ctl_errors.h"
#include "programs/citrongradectl/json_printer.h"
#include "programs/citrongradectl/mesh_reader.h"
#include "programs/citrongradectl/service_settings_printer.h"
#include "programs/citrongradectl/text_table.h"

namespace citrongrade {

using nlohmann::ordered_json;

namespace {

ordered_json ToJson(const ConfigEntry& entry) {
  return {{"kind", MeshJson::Write(entry.kind)},
          {"name", entry.name},
          {"version", entry.version.value()},
          {"operator", entry.operator_name}};
}

const ConfigEntry& FindEntry(const MeshState& state, const std::string& name) {
  std::vector<std::string> known;
  for (const auto& [key, entry] : state.config()) {
    if (entry.name == name) {
      return entry;
    }
    known.push_back(entry.name);
  }
  const std::string nearest = NearestName::Find(name, known);
  throw UsageError("nothing named " + name + " is in force" +
                   (nearest.empty() ? "" : "; did you mean " + nearest + "?"));
}

// A service's settings as the nodes run them; a template as it was declared.
ordered_json Describe(const MeshState& state, const ConfigEntry& entry) {
  ordered_json described = ToJson(entry);
  if (entry.kind == ConfigKind::kService) {
    for (const auto& [id, settings] : ServiceSettingsCodec::DecodeAll(state)) {
      if (id.ToString() == entry.name) {
        described["settings"] = ServiceSettingsPrinter::ToJson(*settings);
      }
    }
  }
  described["declaration"] = ordered_json::parse(entry.body, nullptr, false);
  return described;
}

}  // namespace

const char* ShowCommand::Name() const {
  return "show";
}

const char* ShowCommand::Description() const {
  return "show what is in force";
}

const char* ShowCommand::Examples() const {
  return "Examples:\n  citrongradectl show\n  citrongradectl show "
         "porto-amarracao/berth-board --json";
}

void ShowCommand::AddOptions(CLI::App& app) {
  app.add_option("name", m_name, "a template, or WORKSPACE/SERVICE");
}

ExitCode ShowCommand::Run(CommandContext& context) {
  const MeshState& state = context.ReadLog().state();
  if (!m_name.empty()) {
    const ordered_json described = Describe(state, FindEntry(state, m_name));
    if (context.settings().json) {
      context.PrintJson(described);
    } else {
      JsonPrinter::Print(described, context.out());
    }
    return ExitCode::kOk;
  }
  ordered_json list = ordered_json::array();
  TextTable table({"kind", "name", "version", "operator"});
  for (const auto& [key, entry] : state.config()) {
    list.push_back(ToJson(entry));
    table.AddRow({MeshJson::Write(entry.kind), entry.name,
                  std::to_string(entry.version.value()), entry.operator_name});
  }
  if (context.settings().json) {
    context.PrintJson(list);
  } else {
    table.Print(context.out());
  }
  return ExitCode::kOk;
}

}  // namespace citrongrade
