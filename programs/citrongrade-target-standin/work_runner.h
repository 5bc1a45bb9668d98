#pragma once

#include <memory>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "programs/citrongrade-target-standin/load_figures.h"
#include "programs/citrongrade-target-standin/run_record.h"

namespace citrongrade {

class FreezeGate;
class HttpExchange;
class TargetControlStore;
struct TargetSettings;

// Runs the work of requests: grant, slot, time, record, answer. A request is
// refused as not run only before its run is recorded. Thread-safe.
class WorkRunner {
 public:
  // All must outlive it. `name` is how runs name this target.
  WorkRunner(const TargetSettings& settings,
             const std::string& name,
             const Clock& clock,
             TargetControlStore& controls,
             FreezeGate& freeze_gate);
  ~WorkRunner();

  void Run(HttpExchange& exchange);
  void Cancel(const std::string& request_id);

  LoadFigures Load(Clock::Duration lag) const;
  std::vector<RunRecord> records() const;

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
