#pragma once

#include <string>

#include "programs/citrongradectl/command.h"

namespace citrongrade {

// Shows one node's state.
class DumpCommand final : public Command {
 public:
  const char* Name() const override;
  const char* Description() const override;
  const char* Examples() const override;
  void AddOptions(CLI::App& app) override;
  bool NeedsLog() const override;
  ExitCode Run(CommandContext& context) override;

 private:
  std::string m_node;
  std::string m_control_address;
};

}  // namespace citrongrade
