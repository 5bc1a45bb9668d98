#pragma once

#include <memory>
#include <vector>

#include "modules/state/service_settings.h"

namespace citrongrade {

class MeshState;

// Makes services' settings out of the configuration entries in force. Pure.
// Kin: implemented in protocol.
class ServiceSettingsResolver {
 public:
  virtual ~ServiceSettingsResolver() = default;

  // All services that the configuration declares, in any order.
  virtual std::vector<std::shared_ptr<const ServiceSettings>> Resolve(
      const MeshState& state) const = 0;
};

}  // namespace citrongrade
