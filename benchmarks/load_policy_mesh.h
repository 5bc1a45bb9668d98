#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "benchmarks/load_policy_event_loop.h"
#include "benchmarks/load_policy_request.h"
#include "benchmarks/load_policy_scenario.h"
#include "benchmarks/load_policy_target.h"
#include "modules/coordination/load/refusal.h"

namespace citrongrade {

// The targets of one service with something in front that gives them work.
// Kin: LoadPolicyBaselineMesh, LoadPolicyManagedMesh.
class LoadPolicyMesh {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // The target's whole answer, in time or late.
    virtual void OnDone(const LoadPolicyRequest& request) = 0;
    virtual void OnRefused(const LoadPolicyRequest& request,
                           const Refusal& refusal,
                           bool while_idle) = 0;
  };

  LoadPolicyMesh(LoadPolicyEventLoop& loop,
                 const LoadPolicyScenario& scenario,
                 Listener& listener)
      : m_loop(loop), m_scenario(scenario), m_listener(listener) {
    for (std::size_t index = 0; index < scenario.targets; ++index) {
      AddTargetSlots();
    }
  }
  virtual ~LoadPolicyMesh() = default;
  LoadPolicyMesh(const LoadPolicyMesh&) = delete;
  LoadPolicyMesh& operator=(const LoadPolicyMesh&) = delete;

  virtual void Send(const LoadPolicyRequest& request) = 0;
  // A new target joins, cold, at the end of the list.
  virtual void Join() = 0;
  // From now on this target reports that it has nothing to do.
  virtual void MakeLie(std::size_t target) = 0;
  virtual std::uint64_t moves() const { return 0; }
  // Key slot of a key, counting slots that single keys were given.
  virtual std::size_t KeySlotOf(KeyHash key) const {
    return key.value() % m_scenario.key_slots;
  }

  LoadPolicyTarget& target(std::size_t index) { return *m_targets[index]; }
  std::size_t target_count() const { return m_targets.size(); }

 protected:
  void AddTargetSlots() {
    m_targets.push_back(std::make_unique<LoadPolicyTarget>(
        m_loop, m_scenario.slots_per_target));
  }

  LoadPolicyEventLoop& loop() { return m_loop; }
  const LoadPolicyScenario& scenario() const { return m_scenario; }
  Listener& listener() { return m_listener; }

 private:
  LoadPolicyEventLoop& m_loop;
  const LoadPolicyScenario& m_scenario;
  Listener& m_listener;
  std::vector<std::unique_ptr<LoadPolicyTarget>> m_targets;
};

}  // namespace citrongrade
