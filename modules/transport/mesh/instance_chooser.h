#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/target_call_outcome.h"
#include "modules/state/mesh/mesh_view.h"

namespace citrongrade {

// Chooses the member that runs a request for a service that isn't sharded.
// Prefers the own availability zone while it has capacity, judged by the
// outcomes of this node's own requests.
//
// Thread-confined. TargetPicker chooses and TargetEjection decides who is
// eligible; this class keeps both up to date with the view of the mesh.
class InstanceChooser {
 public:
  InstanceChooser(const Clock& clock, std::string own_zone);
  ~InstanceChooser();

  // Call this whenever the view has changed, and every 100 ms.
  void Refresh(const MeshView& view);

  // Returns the mesh address of the chosen member, or nullopt if there is none.
  std::optional<std::string> Choose(const std::string& service,
                                    const std::set<std::string>& excluded);
  // The member gets nothing from this node for a while, as its target takes no
  // more requests now.
  void Pause(const std::string& service,
             const std::string& address,
             Clock::Duration duration);
  // Time until a paused member gets requests again; empty if no member of the
  // service is paused.
  std::optional<Clock::Duration> TimeUntilResumed(
      const std::string& service) const;
  // Returns whether the service has a member that is neither excluded nor
  // paused.
  bool HasAlternative(const std::string& service,
                      const std::set<std::string>& excluded) const;
  // Call this once for each request that got a member from Choose(). Requests
  // of one `route` have similar latencies.
  void OnFinished(const std::string& service,
                  const std::string& address,
                  const std::string& route,
                  TargetCallOutcome outcome,
                  Clock::Duration latency,
                  Clock::Duration target_latency);

 private:
  struct Service;

  // Ends the pauses that are over.
  void ResumeMembers(Service& service);
  // Returns some member that is not excluded, where random choices found none.
  static std::optional<std::string> ChooseAny(
      Service& service,
      const std::set<std::string>& excluded);
  void RefreshService(const std::string& name,
                      const MeshView& view,
                      Service& service);

  const Clock& m_clock;
  const std::string m_own_zone;
  std::mt19937_64 m_random;
  std::map<std::string, std::unique_ptr<Service>> m_services;
};

}  // namespace citrongrade
