#include "programs/citrongradectl/write_report.h"

#include "modules/state/mesh_state.h"

namespace citrongrade {

namespace {

constexpr const char* kCopyMayLand =
    "; an append of it that got no answer may still land and would be judged "
    "by what is in force then: look at history later";

WriteReport ReportConflict(const ConfigRecord& record, const MeshState& state) {
  const ConfigEntry* winner = state.FindConfig(record.kind, record.name);
  WriteReport report{ExitCode::kConflict, "conflict", record.name};
  if (winner == nullptr) {
    report.message += ": there is no version " +
                      std::to_string(record.based_on.value()) + " in force";
    return report;
  }
  report.message += ": version " + std::to_string(winner->version.value()) +
                    " by " + winner->operator_name +
                    " was first; yours was based on version " +
                    std::to_string(record.based_on.value()) +
                    " and is not in force. Run diff to see what changed, merge "
                    "it into your files, and publish again";
  return report;
}

}  // namespace

WriteReport WriteReport::OfConfig(const WriteResult& result,
                                  const ConfigRecord& record,
                                  const MeshState& state) {
  const bool conflict = result.status == WriteResult::Status::kRejected &&
                        result.refusal.rejected == RejectReason::kStaleVersion;
  return conflict ? ReportConflict(record, state) : Of(result, record.name);
}

WriteReport WriteReport::Of(const WriteResult& result,
                            const std::string& what) {
  switch (result.status) {
    case WriteResult::Status::kAccepted:
      return {ExitCode::kOk, "accepted",
              what + ": accepted as version " +
                  std::to_string(result.offset.value())};
    case WriteResult::Status::kRejected:
      return {ExitCode::kInvalid, "refused",
              what + ": refused: " + result.refusal.detail +
                  (result.copy_may_land ? kCopyMayLand : "")};
    case WriteResult::Status::kNotWritten:
      return {ExitCode::kUnreachable, "not-written",
              what +
                  ": not written, the log took nothing in time; it is "
                  "certain that nothing changed"};
    case WriteResult::Status::kUnknown:
      return {ExitCode::kUnknown, "unknown",
              what +
                  ": not known: the log may have taken it and could not be "
                  "read since. Once it answers, find out with: "
                  "citrongradectl history --record " +
                  result.id.value()};
  }
  return {};
}

}  // namespace citrongrade
