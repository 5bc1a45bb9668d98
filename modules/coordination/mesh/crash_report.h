#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "modules/state/mesh/crash_suspect.h"

namespace citrongrade {

// What a node's heartbeat tells the leader of requests that ran beside crashes
// of targets. See CrashReporter, which makes it, and CrashLedger.
struct CrashReport {
  // What the node has changed itself after version `since` of its own knowledge
  // and up to `version`, and what is not known to be stored.
  std::uint64_t since = 0;
  std::uint64_t version = 0;
  std::vector<CrashSuspect> suspects;
  // Version of this leader's knowledge that the node has merged; 0: none.
  std::uint64_t ledger_version = 0;

  friend auto operator<=>(const CrashReport&, const CrashReport&) = default;
};

}  // namespace citrongrade
