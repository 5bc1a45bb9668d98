#pragma once

#include <iosfwd>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "modules/state/log_entry.h"
#include "programs/citrongradectl/ctl_settings.h"
#include "programs/citrongradectl/write_result.h"

namespace citrongrade {

class MeshReader;
class MeshState;

// What commands work with: settings, output, the log and the nodes' addresses.
// The log is opened when it is first asked for, since not all commands need it.
class CommandContext {
 public:
  CommandContext(CtlSettings settings, std::ostream& out);
  ~CommandContext();

  const CtlSettings& settings() const { return m_settings; }
  std::ostream& out() const { return m_out; }
  void PrintJson(const nlohmann::ordered_json& value) const;

  // Throws UsageError with all mistakes in one message.
  void CheckSettings(bool needs_log, bool needs_operator) const;

  // Reads the log to its present end and goes on trying until the timeout.
  // Throws LogUnavailableError, LogPastLostError.
  MeshReader& ReadLog();

  // As it was read last, by ReadLog or Write; does not touch the log.
  const MeshState& LastState();

  WriteResult Write(const Record& record);

  // Waits until all members have applied the record. Prints those that lag.
  // Returns false if any does.
  bool WaitInForce(LogOffset offset);

 private:
  class Implementation;

  Implementation& Open();

  CtlSettings m_settings;
  std::ostream& m_out;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
