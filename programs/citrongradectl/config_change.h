#pragma once

#include <compare>
#include <string>

#include "modules/state/apply_result.h"
#include "modules/state/identifiers.h"
#include "modules/state/records/config_record.h"

namespace citrongrade {

// A configuration record as the log holds it, and what became of it.
struct ConfigChange {
  LogOffset offset;
  RecordId id;
  ConfigRecord record;
  ApplyResult result;

  friend auto operator<=>(const ConfigChange&, const ConfigChange&) = default;
};

}  // namespace citrongrade
