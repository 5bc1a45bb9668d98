#include "programs/citrongrade-load/promise_checker.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "programs/citrongrade-load/call_record.h"
#include "programs/citrongrade-load/run_ledger.h"

namespace citrongrade {

namespace {

using Kind = BrokenPromise::Kind;

void CheckRuns(const CallRecord& record,
               std::size_t runs,
               bool is_whole,
               std::vector<BrokenPromise>& broken) {
  const bool is_protected = record.call.kind == CallKind::kProtected;
  const std::string count = std::string(ToString(record.call.kind)) + ", " +
                            std::to_string(runs) +
                            " runs; attempts: " + record.history;
  if (is_protected && runs > 1)
    broken.push_back({Kind::kDoubleRun, record.call.id, count});
  if (record.every_attempt_not_run && runs > 0)
    broken.push_back({Kind::kNotRunRan, record.call.id, count});
  const bool is_done = record.last_outcome == AttemptOutcome::kDone;
  if (is_whole && is_protected && is_done && runs == 0)
    broken.push_back({Kind::kDoneWithoutRun, record.call.id, count});
}

}  // namespace

std::vector<BrokenPromise> CheckPromises(std::span<const CallRecord> calls,
                                         const RunLedger& ledger,
                                         bool is_whole) {
  std::vector<BrokenPromise> broken;
  for (const CallRecord& record : calls) {
    if (record.any_wrong_answer)
      broken.push_back({Kind::kWrongAnswer, record.call.id, record.history});
    CheckRuns(record, ledger.RunsOf(record.call.id), is_whole, broken);
  }
  return broken;
}

}  // namespace citrongrade
