#pragma once

#include <memory>
#include <optional>

namespace citrongrade {

struct LoadSettings;
struct PlannedCall;

// The calls of one run, in order of time: Poisson arrivals, faster in bursts,
// with skewed keys and callers. The same seed gives the same plan. Open loop:
// the plan knows nothing of answers, so a slow system can't slow its callers
// and so hide how slow it is.
class CallPlan {
 public:
  explicit CallPlan(const LoadSettings& settings);
  ~CallPlan();

  // Nothing once the run's duration is over.
  std::optional<PlannedCall> Next();

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
