#pragma once

#include <memory>
#include <optional>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/retry_allowance.h"
#include "modules/coordination/load/target_call_outcome.h"
#include "modules/coordination/load/work_class.h"
#include "modules/coordination/route.h"
#include "modules/state/service_id.h"
#include "modules/state/service_settings.h"

namespace citrongrade {

class RoutingTable;

// Which node runs a request: the owner of its slot, or, for work that any
// member may run, the better of two by TargetPicker among those that
// TargetEjection lets have work. Also says whether a request may be tried
// again, by each service's RetryBudget. Thread-safe.
class RouteChooser {
 public:
  // The table outlives it.
  RouteChooser(const Clock& clock,
               const RoutingTable& table,
               AvailabilityZone own_zone);
  ~RouteChooser();
  RouteChooser(const RouteChooser&) = delete;
  RouteChooser& operator=(const RouteChooser&) = delete;

  // `slot_key` is empty where any member may run it. `failed`: data address of
  // the member that has just failed it. Nothing when there is nobody.
  std::optional<Route> Choose(const ServiceSettings& settings,
                              const std::string& slot_key,
                              WorkClass work_class,
                              const std::string& failed);
  // For each route chosen for work that any member may run.
  void OnFinished(const ServiceId& service,
                  const Route& route,
                  WorkClass work_class,
                  TargetCallOutcome outcome,
                  Clock::Duration latency);

  void OnFirstTry(const ServiceId& service);
  bool TryRetry(const ServiceId& service, RetryAllowance allowance);

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
