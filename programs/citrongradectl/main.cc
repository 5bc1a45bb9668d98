#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdint>
#include <exception>
#include <iostream>
#include <memory>
#include <vector>

#include "modules/coordination/log_errors.h"
#include "modules/protocol/invalid_declaration_error.h"
#include "modules/transport/http_errors.h"
#include "programs/citrongradectl/command_context.h"
#include "programs/citrongradectl/ctl_errors.h"
#include "programs/citrongradectl/diff_command.h"
#include "programs/citrongradectl/drain_command.h"
#include "programs/citrongradectl/dump_command.h"
#include "programs/citrongradectl/explain_command.h"
#include "programs/citrongradectl/forget_command.h"
#include "programs/citrongradectl/history_command.h"
#include "programs/citrongradectl/nodes_command.h"
#include "programs/citrongradectl/problem_printer.h"
#include "programs/citrongradectl/publish_command.h"
#include "programs/citrongradectl/show_command.h"
#include "programs/citrongradectl/validate_command.h"
#include "programs/citrongradectl/wait_command.h"

namespace citrongrade {

namespace {

constexpr const char* kFooter =
    "Exit codes:\n"
    "  0  done\n"
    "  1  failed\n"
    "  2  mistake in the command line or environment\n"
    "  3  declarations with mistakes, or refused\n"
    "  4  another change was first\n"
    "  5  not known whether it took effect\n"
    "  6  nodes lag, or a drain is not done in time\n"
    "  7  the log or a node can't be reached; nothing was changed\n"
    "  8  diff found differences\n"
    "Every flag of the first list may stand in the environment instead, for\n"
    "example CITRONGRADE_LOG_ADDRESS=127.0.0.1:9000.\n"
    "Example:\n"
    "  citrongradectl validate examples && citrongradectl publish examples "
    "--operator ana --wait";

std::vector<std::unique_ptr<Command>> MakeCommands() {
  std::vector<std::unique_ptr<Command>> commands;
  commands.push_back(std::make_unique<ValidateCommand>());
  commands.push_back(std::make_unique<DiffCommand>());
  commands.push_back(std::make_unique<PublishCommand>());
  commands.push_back(std::make_unique<WaitCommand>());
  commands.push_back(std::make_unique<ShowCommand>());
  commands.push_back(std::make_unique<HistoryCommand>());
  commands.push_back(std::make_unique<NodesCommand>());
  commands.push_back(std::make_unique<DumpCommand>());
  commands.push_back(std::make_unique<DrainCommand>());
  commands.push_back(std::make_unique<ForgetCommand>());
  commands.push_back(std::make_unique<ExplainCommand>());
  return commands;
}

void AddSettings(CLI::App& app, CtlSettings& settings, unsigned& timeout_ms) {
  app.add_option("--log-address", settings.log_address,
                 "ip:port of the platform's log")
      ->envname("CITRONGRADE_LOG_ADDRESS");
  app.add_option("--log-stream", settings.log_stream, "stream of the mesh")
      ->envname("CITRONGRADE_LOG_STREAM")
      ->capture_default_str();
  app.add_option("--operator", settings.operator_name,
                 "who makes the change; written into it")
      ->envname("CITRONGRADE_OPERATOR");
  app.add_option("--timeout-ms", timeout_ms, "how long to go on trying")
      ->envname("CITRONGRADE_TIMEOUT_MS")
      ->capture_default_str();
  app.add_flag("--json", settings.json, "print JSON")
      ->envname("CITRONGRADE_JSON");
}

ExitCode Fail(ExitCode code, const std::exception& error) {
  spdlog::error("event=command-failed reason=\"{}\"", error.what());
  return code;
}

ExitCode RunCommand(Command& command, CommandContext& context) {
  try {
    context.CheckSettings(command.NeedsLog(), command.NeedsOperator());
    return command.Run(context);
  } catch (const InvalidDeclarationError& error) {
    ProblemPrinter::Print(context, error.problems());
    return ExitCode::kInvalid;
  } catch (const UsageError& error) {
    return Fail(ExitCode::kUsage, error);
  } catch (const UnreadableFileError& error) {
    return Fail(ExitCode::kUsage, error);
  } catch (const InvalidHttpAddressError& error) {
    return Fail(ExitCode::kUsage, error);
  } catch (const LogUnavailableError& error) {
    return Fail(ExitCode::kUnreachable, error);
  } catch (const LogPastLostError& error) {
    return Fail(ExitCode::kUnreachable, error);
  } catch (const NodeUnreachableError& error) {
    return Fail(ExitCode::kUnreachable, error);
  }
}

ExitCode Run(int argc, char** argv) {
  constexpr int kExactlyOne = 1;
  CLI::App app("Declares and watches the services of a citrongrade mesh.");
  CtlSettings settings;
  auto timeout_ms = static_cast<unsigned>(settings.timeout.count());
  AddSettings(app, settings, timeout_ms);
  app.footer(kFooter);
  app.require_subcommand(kExactlyOne);
  app.fallthrough();
  const std::vector<std::unique_ptr<Command>> commands = MakeCommands();
  for (const std::unique_ptr<Command>& command : commands) {
    CLI::App* subcommand =
        app.add_subcommand(command->Name(), command->Description());
    subcommand->footer(command->Examples());
    command->AddOptions(*subcommand);
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const bool asked_for_help = app.exit(error) == 0;
    return asked_for_help ? ExitCode::kOk : ExitCode::kUsage;
  }
  settings.timeout = std::chrono::milliseconds(timeout_ms);
  CommandContext context(settings, std::cout);
  for (const std::unique_ptr<Command>& command : commands) {
    if (app.got_subcommand(command->Name())) {
      return RunCommand(*command, context);
    }
  }
  return ExitCode::kUsage;
}

}  // namespace

}  // namespace citrongrade

int main(int argc, char** argv) {
  // Results go to standard output, which may be read by a program.
  spdlog::set_default_logger(spdlog::stderr_logger_mt("citrongradectl"));
  spdlog::set_pattern("level=%l %v");
  try {
    return static_cast<int>(citrongrade::Run(argc, argv));
  } catch (const std::exception& error) {
    spdlog::critical("event=failed reason=\"{}\"", error.what());
    return static_cast<int>(citrongrade::ExitCode::kFailed);
  }
}
