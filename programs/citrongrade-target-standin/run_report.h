#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace citrongrade {

// The start of one run, as a target tells a collector before it runs, and as
// GET /v1/runs lists it.
struct RunReport {
  std::string target;
  // Random id of the target's process: a restarted target counts from 1 again.
  std::string process;
  // Counts the runs of the target's process.
  std::uint64_t number = 0;
  std::string idempotency_key;
  std::string call_id;
  std::string key;

  friend auto operator<=>(const RunReport&, const RunReport&) = default;
};

}  // namespace citrongrade
