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

// Which member runs a request for a service that is not divided by key: one of
// the own availability zone while there is room, judged by what this node sees
// of its own requests.
//
// Thread-confined. Kin: TargetPicker chooses, TargetEjection says who may be
// chosen; this one keeps both up to the view.
class InstanceChooser {
 public:
  InstanceChooser(const Clock& clock, std::string own_zone);
  ~InstanceChooser();

  // Whenever the view has changed, and every 100 ms besides.
  void Refresh(const MeshView& view);

  // Mesh address of the one chosen. None when there is nobody.
  std::optional<std::string> Choose(const std::string& service,
                                    const std::set<std::string>& excluded);
  // Whether the service has a member that is not excluded.
  bool HasAlternative(const std::string& service,
                      const std::set<std::string>& excluded) const;
  // Once for each that was chosen. Requests of one `kind` take about as long as
  // each other.
  void OnFinished(const std::string& service,
                  const std::string& address,
                  const std::string& kind,
                  TargetCallOutcome outcome,
                  Clock::Duration latency,
                  Clock::Duration target_latency);

 private:
  struct Service;

  void RefreshService(const std::string& name,
                      const MeshView& view,
                      Service& service);

  const Clock& m_clock;
  const std::string m_own_zone;
  std::mt19937_64 m_random;
  std::map<std::string, std::unique_ptr<Service>> m_services;
};

}  // namespace citrongrade
