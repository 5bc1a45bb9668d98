#pragma once

#include <string>

#include "programs/citrongradectl/command.h"

namespace citrongrade {

// Shows what is in force: all entries, or one with its settings.
class ShowCommand final : public Command {
 public:
  const char* Name() const override;
  const char* Description() const override;
  const char* Examples() const override;
  void AddOptions(CLI::App& app) override;
  ExitCode Run(CommandContext& context) override;

 private:
  std::string m_name;
};

}  // namespace citrongrade
