#pragma once

#include <compare>
#include <cstddef>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/load/work_class.h"

namespace citrongrade {

// What the decisions under load know of a request; never its content.
struct RequestMetadata {
  RequestTicket ticket;
  CallerHash caller;
  KeyHash key;
  WorkClass work_class = WorkClass::kShort;
  // Memory that it holds while it waits: body and headers.
  std::size_t bytes = 0;
  Clock::TimePoint deadline;

  friend auto operator<=>(const RequestMetadata&,
                          const RequestMetadata&) = default;
};

}  // namespace citrongrade
