#include "programs/citrongradectl/forget_command.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <ostream>

#include "modules/state/mesh_state.h"
#include "programs/citrongradectl/command_context.h"
#include "programs/citrongradectl/ctl_errors.h"
#include "programs/citrongradectl/mesh_reader.h"
#include "programs/citrongradectl/write_report.h"

namespace citrongrade {

const char* ForgetCommand::Name() const {
  return "forget";
}

const char* ForgetCommand::Description() const {
  return "declare a member gone for good, so that its slots get new owners";
}

const char* ForgetCommand::Examples() const {
  return "Only for a member whose process can't run again: were it merely\n"
         "paused, two owners could serve one key. See docs/OPERATIONS.md.\n"
         "Example:\n  citrongradectl forget recife-derby-1 --incarnation 17 "
         "--i-vouch-that-its-process-is-gone --operator ana";
}

void ForgetCommand::AddOptions(CLI::App& app) {
  app.add_option("node", m_node, "the member's node")->required();
  app.add_option("--incarnation", m_incarnation, "as listed by: nodes")
      ->required();
  app.add_flag("--i-vouch-that-its-process-is-gone", m_vouch,
               "you have made sure that it can't run again");
}

bool ForgetCommand::NeedsOperator() const {
  return true;
}

ExitCode ForgetCommand::Run(CommandContext& context) {
  const std::string& operator_name = context.settings().operator_name;
  const MemberId member{NodeId(m_node), Incarnation(m_incarnation)};
  if (context.ReadLog().state().FindMember(member) == nullptr) {
    throw UsageError("no member " + m_node + " with incarnation " +
                     std::to_string(m_incarnation) + "; see: nodes");
  }
  if (!m_vouch) {
    throw UsageError(
        "forget needs --i-vouch-that-its-process-is-gone: a process that is "
        "merely paused could serve keys beside their new owners");
  }
  const WriteResult result = context.Write(ForgetRecord{member, operator_name});
  const WriteReport report = WriteReport::Of(result, "forget " + m_node);
  if (context.settings().json) {
    context.PrintJson({{"status", report.status},
                       {"offset", result.offset.value()},
                       {"record", result.id.value()},
                       {"message", report.message}});
  } else {
    context.out() << report.message << '\n';
  }
  return report.exit_code;
}

}  // namespace citrongrade
