#pragma once

#include <cstdint>

#include "programs/citrongradectl/command.h"

namespace citrongrade {

// Waits until a record is in force on all nodes.
class WaitCommand final : public Command {
 public:
  const char* Name() const override;
  const char* Description() const override;
  const char* Examples() const override;
  void AddOptions(CLI::App& app) override;
  ExitCode Run(CommandContext& context) override;

 private:
  std::uint64_t m_offset = 0;
};

}  // namespace citrongrade
