#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <random>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/cold_start_ramp.h"
#include "modules/coordination/load/retry_budget.h"
#include "modules/coordination/load/target_ejection.h"
#include "modules/coordination/load/target_picker.h"
#include "modules/coordination/load/work_class.h"

namespace citrongrade {

// What a node that callers connect to knows of the targets of an undivided
// service, wired as a node wires it.
struct LoadPolicyEntryNode {
  LoadPolicyEntryNode(const Clock& clock,
                      std::mt19937_64& random,
                      const AvailabilityZone& zone)
      : pickers{TargetPicker(clock, random, zone),
                TargetPicker(clock, random, zone)},
        ejection(clock, random, TargetEjection::Parameters{}),
        retries(RetryBudget::Parameters{}) {}

  void Refresh() {
    ejection.Poll();
    for (auto& [id, ramp] : ramps) {
      SetEligible(id);
      for (TargetPicker& picker : pickers) {
        picker.SetCapacityShare(id, ramp.Share());
      }
    }
  }

  void OnSent(const TargetId& id, WorkClass work_class) {
    PickerOf(work_class).OnSent(id);
    ejection.OnSent(id);
    SetEligible(id);
  }

  void OnFinished(const TargetId& id,
                  WorkClass work_class,
                  TargetCallOutcome outcome,
                  Clock::Duration latency) {
    PickerOf(work_class).OnFinished(id);
    ejection.OnFinished(id, outcome, latency);
    SetEligible(id);
  }

  void SetEligible(const TargetId& id) {
    for (TargetPicker& picker : pickers) {
      picker.SetEligible(id, ejection.IsEligible(id));
    }
  }

  TargetPicker& PickerOf(WorkClass work_class) {
    return pickers[static_cast<std::size_t>(work_class)];
  }

  std::array<TargetPicker, kWorkClassCount> pickers;
  TargetEjection ejection;
  RetryBudget retries;
  std::map<TargetId, ColdStartRamp> ramps;
};

}  // namespace citrongrade
