#include "programs/citrongradectl/wait_command.h"

#include <CLI/CLI.hpp>

#include "modules/state/identifiers.h"
#include "modules/state/mesh_state.h"
#include "programs/citrongradectl/command_context.h"
#include "programs/citrongradectl/mesh_reader.h"

namespace citrongrade {

const char* WaitCommand::Name() const {
  return "wait";
}

const char* WaitCommand::Description() const {
  return "wait until a version is in force on all nodes; names those that lag";
}

const char* WaitCommand::Examples() const {
  return "Example:\n  citrongradectl wait --version 41 --timeout-ms 11000";
}

void WaitCommand::AddOptions(CLI::App& app) {
  app.add_option("--version", m_offset,
                 "version (log offset); default: the log's present end");
}

ExitCode WaitCommand::Run(CommandContext& context) {
  LogOffset offset(m_offset);
  if (m_offset == 0) {
    const std::uint64_t next = context.ReadLog().state().next_offset().value();
    offset = LogOffset(next - 1);
  }
  return context.WaitInForce(offset) ? ExitCode::kOk : ExitCode::kLagging;
}

}  // namespace citrongrade
