#pragma once

#include "modules/state/log_entry.h"

namespace citrongrade {

// Appends to the platform's log without blocking. It reports no success: the
// coordinator learns that by reading the record back. A definite failure goes
// to NodeCoordinator::OnAppendFailed; of an unknown outcome it says nothing.
// It never appends one record twice.
class LogWriter {
 public:
  virtual ~LogWriter() = default;

  virtual void Append(const RecordId& id, const Record& record) = 0;
};

}  // namespace citrongrade
