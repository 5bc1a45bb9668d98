#pragma once

#include "programs/citrongradectl/command.h"

namespace citrongrade {

// Lists the members of the mesh, as the log has them.
class NodesCommand final : public Command {
 public:
  const char* Name() const override;
  const char* Description() const override;
  const char* Examples() const override;
  void AddOptions(CLI::App& app) override;
  ExitCode Run(CommandContext& context) override;
};

}  // namespace citrongrade
