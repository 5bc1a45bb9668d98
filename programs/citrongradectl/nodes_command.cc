#include "programs/citrongradectl/nodes_command.h"

#include <CLI/CLI.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

#include "modules/state/mesh_state.h"
#include "programs/citrongradectl/command_context.h"
#include "programs/citrongradectl/mesh_reader.h"
#include "programs/citrongradectl/text_table.h"

namespace citrongrade {

using nlohmann::ordered_json;

namespace {

std::uint32_t CountSlots(const MeshState& state, const MemberId& member) {
  std::uint32_t count = 0;
  for (const auto& [id, table] : state.services()) {
    count += table.CountOwnedBy(member);
  }
  return count;
}

bool IsCurrent(const MeshState& state, const MemberId& member) {
  const Member* current = state.FindCurrentMember(member.node);
  return current != nullptr && current->id == member;
}

}  // namespace

const char* NodesCommand::Name() const {
  return "nodes";
}

const char* NodesCommand::Description() const {
  return "list the nodes that the log counts as members";
}

const char* NodesCommand::Examples() const {
  return "\"superseded\": the node restarted, and its earlier life still owns\n"
         "slots until they are taken over.\n"
         "Example:\n  citrongradectl nodes";
}

void NodesCommand::AddOptions(CLI::App& /*app*/) {}

ExitCode NodesCommand::Run(CommandContext& context) {
  const MeshState& state = context.ReadLog().state();
  ordered_json list = ordered_json::array();
  TextTable table({"node", "incarnation", "availability zone", "service",
                   "slots", "witnesses", "control address", "state"});
  for (const auto& [id, member] : state.members()) {
    const std::uint32_t slots = CountSlots(state, id);
    const std::string status = IsCurrent(state, id) ? "current" : "superseded";
    const JoinRecord& join = member.announcement;
    table.AddRow({id.node.value(), std::to_string(id.incarnation.value()),
                  join.availability_zone.value(), join.service.ToString(),
                  std::to_string(slots),
                  std::to_string(member.witnesses.witnesses.size()),
                  join.control_address, status});
    list.push_back({{"node", id.node.value()},
                    {"incarnation", id.incarnation.value()},
                    {"availability_zone", join.availability_zone.value()},
                    {"service", join.service.ToString()},
                    {"slots", slots},
                    {"witnesses", member.witnesses.witnesses.size()},
                    {"control_address", join.control_address},
                    {"state", status}});
  }
  if (context.settings().json) {
    context.PrintJson(list);
  } else {
    table.Print(context.out());
  }
  return ExitCode::kOk;
}

}  // namespace citrongrade
