#pragma once

#include <compare>
#include <vector>

#include "modules/state/service_id.h"
#include "modules/state/slot_run.h"

namespace citrongrade {

// Gives slots that nobody owns to members. Any member may write it.
struct AssignRecord {
  ServiceId service;
  std::vector<SlotRun> runs;

  friend auto operator<=>(const AssignRecord&, const AssignRecord&) = default;
};

}  // namespace citrongrade
