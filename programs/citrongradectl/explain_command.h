#pragma once

#include <string>
#include <vector>

#include "programs/citrongradectl/command.h"

namespace citrongrade {

// Tells from saved logs what became of one request.
class ExplainCommand final : public Command {
 public:
  const char* Name() const override;
  const char* Description() const override;
  const char* Examples() const override;
  void AddOptions(CLI::App& app) override;
  bool NeedsLog() const override { return false; }
  ExitCode Run(CommandContext& context) override;

 private:
  std::string m_request_id;
  std::vector<std::string> m_paths;
};

}  // namespace citrongrade
