#pragma once

#include <string>

#include "programs/citrongradectl/command.h"

namespace citrongrade {

// Lists changes of configuration, accepted and refused.
class HistoryCommand final : public Command {
 public:
  const char* Name() const override;
  const char* Description() const override;
  const char* Examples() const override;
  void AddOptions(CLI::App& app) override;
  ExitCode Run(CommandContext& context) override;

 private:
  std::string m_name;
  std::string m_record;
};

}  // namespace citrongrade
