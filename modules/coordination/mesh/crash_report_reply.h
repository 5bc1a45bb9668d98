#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "modules/state/mesh/crash_suspect.h"

namespace citrongrade {

// What the leader answers to a CrashReport.
struct CrashReportReply {
  // Version of the node's reports up to which this leader has received them,
  // and up to which they are stored.
  std::uint64_t received = 0;
  std::uint64_t stored = 0;
  // What the node lacks of version `ledger_version` of the leader's knowledge.
  std::vector<CrashSuspect> suspects;
  std::uint64_t ledger_version = 0;

  friend auto operator<=>(const CrashReportReply&,
                          const CrashReportReply&) = default;
};

}  // namespace citrongrade
