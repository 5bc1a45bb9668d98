#pragma once

#include <string>

#include "modules/state/member_id.h"
#include "programs/citrongradectl/command.h"

namespace citrongrade {

// Has one node hand over its slots, finish its work and exit.
class DrainCommand final : public Command {
 public:
  const char* Name() const override;
  const char* Description() const override;
  const char* Examples() const override;
  void AddOptions(CLI::App& app) override;
  ExitCode Run(CommandContext& context) override;

 private:
  ExitCode WaitUntilGone(CommandContext& context, const MemberId& member);

  std::string m_node;
  bool m_wait = false;
};

}  // namespace citrongrade
