#include "programs/citrongradectl/dump_command.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "modules/state/member.h"
#include "programs/citrongradectl/command_context.h"
#include "programs/citrongradectl/ctl_errors.h"
#include "programs/citrongradectl/json_printer.h"
#include "programs/citrongradectl/mesh_reader.h"
#include "programs/citrongradectl/node_client.h"
#include "programs/citrongradectl/node_finder.h"

namespace citrongrade {

const char* DumpCommand::Name() const {
  return "dump";
}

const char* DumpCommand::Description() const {
  return "show one node's state";
}

const char* DumpCommand::Examples() const {
  return "Examples:\n  citrongradectl dump recife-derby-1 --log-address "
         "127.0.0.1:9000\n  citrongradectl dump --control-address "
         "127.0.0.1:7101 --json";
}

void DumpCommand::AddOptions(CLI::App& app) {
  app.add_option("node", m_node, "a member's name; its address is in the log");
  app.add_option("--control-address", m_control_address,
                 "ip:port, for a node that is no member or with the log down");
}

bool DumpCommand::NeedsLog() const {
  return m_control_address.empty();
}

ExitCode DumpCommand::Run(CommandContext& context) {
  if (m_node.empty() == m_control_address.empty()) {
    throw UsageError("dump needs either a node's name or --control-address");
  }
  std::string address = m_control_address;
  if (address.empty()) {
    address = NodeFinder::Find(context.ReadLog().state(), m_node)
                  .announcement.control_address;
  }
  const NodeClient client(address, context.settings().timeout);
  const nlohmann::ordered_json dump = client.Dump();
  if (context.settings().json) {
    context.PrintJson(dump);
  } else {
    JsonPrinter::Print(dump, context.out());
  }
  return ExitCode::kOk;
}

}  // namespace citrongrade
