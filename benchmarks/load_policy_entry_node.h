#pragma once

#include <cstddef>
#include <map>
#include <random>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/cold_start_ramp.h"
#include "modules/coordination/load/retry_budget.h"
#include "modules/coordination/load/target_ejection.h"
#include "modules/coordination/load/target_picker.h"

namespace citrongrade {

// What a node that callers connect to knows of the targets of an undivided
// service, wired as a node wires it.
struct LoadPolicyEntryNode {
  LoadPolicyEntryNode(const Clock& clock,
                      std::mt19937_64& random,
                      const AvailabilityZone& zone)
      : picker(clock, random, zone),
        ejection(clock, random, TargetEjection::Parameters{}),
        retries(RetryBudget::Parameters{}) {}

  void Refresh() {
    ejection.Poll();
    for (auto& [id, ramp] : ramps) {
      picker.SetEligible(id, ejection.MayReceive(id));
      picker.SetCapacityShare(id, ramp.Share());
    }
  }

  void OnSent(const TargetId& id) {
    picker.OnSent(id);
    ejection.OnSent(id);
    picker.SetEligible(id, ejection.MayReceive(id));
  }

  void OnFinished(const TargetId& id,
                  RunOutcome outcome,
                  Clock::Duration latency) {
    picker.OnFinished(id);
    ejection.OnFinished(id, outcome, latency);
    picker.SetEligible(id, ejection.MayReceive(id));
  }

  TargetPicker picker;
  TargetEjection ejection;
  RetryBudget retries;
  std::map<TargetId, ColdStartRamp> ramps;
};

}  // namespace citrongrade
