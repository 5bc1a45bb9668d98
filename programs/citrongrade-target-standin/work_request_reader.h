#pragma once

#include "modules/coordination/clock.h"
#include "programs/citrongrade-target-standin/work_request.h"

namespace citrongrade {

class HttpExchange;

// Reads a node's headers (docs/PROTOCOLS.md), and those of the stand-ins' own:
// Standin-Call-Id, Standin-Poison, Standin-Direct. `now` is the arrival.
WorkRequest ReadWorkRequest(const HttpExchange& exchange, Clock::TimePoint now);

}  // namespace citrongrade
