#pragma once

#include <span>
#include <vector>

#include "programs/citrongrade-load/broken_promise.h"

namespace citrongrade {

class RunLedger;
struct CallRecord;

// What the calls and the runs together show to be broken. A ledger that lacks
// runs (`is_whole` false: a target was lost and had no collector) can still
// show a run too many, and not one too few.
std::vector<BrokenPromise> CheckPromises(std::span<const CallRecord> calls,
                                         const RunLedger& ledger,
                                         bool is_whole);

}  // namespace citrongrade
