#pragma once

#include <cstdint>
#include <string>

#include "programs/citrongradectl/command.h"

namespace citrongrade {

// Declares that a member is gone for good, so that its slots get new owners.
class ForgetCommand final : public Command {
 public:
  const char* Name() const override;
  const char* Description() const override;
  const char* Examples() const override;
  void AddOptions(CLI::App& app) override;
  bool NeedsOperator() const override;
  ExitCode Run(CommandContext& context) override;

 private:
  std::string m_node;
  std::uint64_t m_incarnation = 0;
  bool m_vouch = false;
};

}  // namespace citrongrade
