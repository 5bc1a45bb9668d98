#pragma once

#include <string>

#include "modules/state/records/config_record.h"
#include "programs/citrongradectl/exit_code.h"
#include "programs/citrongradectl/write_result.h"

namespace citrongrade {

class MeshState;

// What an operator is told of a record that was written: what became of it,
// and what to do next.
struct WriteReport {
  ExitCode exit_code = ExitCode::kOk;
  // One word for programs: "accepted", "conflict", "refused", "not-written",
  // "unknown".
  std::string status;
  std::string message;

  // `state` is read up to the refusal at least.
  static WriteReport OfConfig(const WriteResult& result,
                              const ConfigRecord& record,
                              const MeshState& state);
  // Of another record; `what` names it.
  static WriteReport Of(const WriteResult& result, const std::string& what);
};

}  // namespace citrongrade
