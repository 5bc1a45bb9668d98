#pragma once

#include "programs/citrongradectl/exit_code.h"

namespace CLI {
class App;
}  // namespace CLI

namespace citrongrade {

class CommandContext;

// One subcommand of citrongradectl.
class Command {
 public:
  virtual ~Command() = default;

  virtual const char* Name() const = 0;
  virtual const char* Description() const = 0;
  // Shown at the end of its help.
  virtual const char* Examples() const = 0;
  virtual void AddOptions(CLI::App& app) = 0;
  // Which settings the command can't do without; asked once the command line
  // was read.
  virtual bool NeedsLog() const { return true; }
  virtual bool NeedsOperator() const { return false; }
  // After the command line was read and the settings were checked. Throws what
  // CtlErrors and the log throw.
  virtual ExitCode Run(CommandContext& context) = 0;
};

}  // namespace citrongrade
