#pragma once

#include <chrono>
#include <compare>
#include <optional>

#include "modules/state/mesh/target_incarnation.h"

namespace citrongrade {

// What a node has heard from a target, for another node. It travels with each
// forwarded request and with its result: a node beside the target that has just
// started learns from the first request what its last process had told others.
struct TargetNotice {
  TargetIncarnation target;
  // Requests a second that the target takes from all nodes together.
  std::optional<double> rate_limit;
  // Time since the target first said that it leaves. Empty if it hasn't.
  std::optional<std::chrono::milliseconds> leaving_for;
  // The target's requests are paced now, by the limit that it named or because
  // it is cold: a refusal says nothing of its health.
  bool is_paced = false;

  friend auto operator<=>(const TargetNotice&, const TargetNotice&) = default;
};

}  // namespace citrongrade
