#pragma once

#include <map>
#include <string>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/records/config_record.h"
#include "programs/citrongradectl/command.h"

namespace citrongrade {

class MeshState;

// Publishes files of declarations: checks all of them against what is in force
// first, then writes one record for each that differs.
class PublishCommand final : public Command {
 public:
  const char* Name() const override;
  const char* Description() const override;
  const char* Examples() const override;
  void AddOptions(CLI::App& app) override;
  bool NeedsOperator() const override;
  ExitCode Run(CommandContext& context) override;

 private:
  using VersionMap = std::map<std::string, ConfigVersion>;

  VersionMap ReadBasedOn() const;
  void CheckAll(const MeshState& state,
                const std::vector<ConfigRecord>& records) const;
  ExitCode WriteAll(CommandContext& context,
                    const std::vector<ConfigRecord>& records);

  std::vector<std::string> m_paths;
  std::vector<std::string> m_based_on;
  bool m_wait = false;
  bool m_dry_run = false;
};

}  // namespace citrongrade
