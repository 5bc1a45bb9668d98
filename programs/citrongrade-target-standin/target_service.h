#pragma once

#include <atomic>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/transport/http_handler.h"
#include "programs/citrongrade-target-standin/lagging_value.h"
#include "programs/citrongrade-target-standin/target_control_store.h"
#include "programs/citrongrade-target-standin/target_state.h"
#include "programs/citrongrade-target-standin/work_runner.h"

namespace citrongrade {

class FreezeGate;
struct TargetSettings;

// The target's HTTP face: work at any path but those under /v1/, where health,
// load, cancel, the record of runs and the controls are.
class TargetService final : public HttpHandler {
 public:
  // All must outlive the service. `name` is how runs name this target.
  TargetService(const TargetSettings& settings,
                const std::string& name,
                const Clock& clock,
                FreezeGate& freeze_gate);

  void Handle(HttpExchange& exchange) override;

  TargetState state() const;

  // Refuses new work from now on, and goes on with what is here.
  void BeginDrain();
  // Requests that run or wait.
  unsigned RequestsInside() const;

 private:
  void HandleWork(HttpExchange& exchange);
  void HandleHealth(HttpExchange& exchange);
  void HandleLoad(HttpExchange& exchange);
  void HandleRuns(HttpExchange& exchange);
  void HandleControl(HttpExchange& exchange);

  const TargetSettings& m_settings;
  const Clock& m_clock;
  FreezeGate& m_freeze_gate;
  const Clock::TimePoint m_serves_from;
  TargetControlStore m_controls;
  WorkRunner m_runner;
  std::atomic<bool> m_draining = false;
  LaggingValue<bool> m_draining_history;
  std::atomic<unsigned> m_requests_inside = 0;
};

}  // namespace citrongrade
