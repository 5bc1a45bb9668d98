#pragma once

#include <string>
#include <vector>

#include "programs/citrongradectl/command.h"

namespace citrongrade {

// Checks files of declarations without the log.
class ValidateCommand final : public Command {
 public:
  const char* Name() const override;
  const char* Description() const override;
  const char* Examples() const override;
  void AddOptions(CLI::App& app) override;
  bool NeedsLog() const override;
  ExitCode Run(CommandContext& context) override;

 private:
  std::vector<std::string> m_paths;
};

}  // namespace citrongrade
