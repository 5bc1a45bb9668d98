#pragma once

#include <compare>
#include <cstddef>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/load/work_class.h"

namespace citrongrade {

// What the load decisions know of a request; never its content.
struct RequestMetadata {
  RequestTicket ticket;
  CallerHash caller;
  KeyHash key;
  WorkClass work_class = WorkClass::kShort;
  // Memory of body and headers that the request holds while it is queued.
  std::size_t bytes = 0;
  Clock::TimePoint deadline;

  friend auto operator<=>(const RequestMetadata&,
                          const RequestMetadata&) = default;
};

}  // namespace citrongrade
