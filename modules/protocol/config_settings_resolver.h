#pragma once

#include <memory>
#include <vector>

#include "modules/coordination/service_settings_resolver.h"

namespace citrongrade {

// Services' settings out of the declarations in force, by ServiceSettingsCodec.
class ConfigSettingsResolver final : public ServiceSettingsResolver {
 public:
  // Throws InvalidDeclarationError for a state made without ConfigRules.
  std::vector<std::shared_ptr<const ServiceSettings>> Resolve(
      const MeshState& state) const override;
};

}  // namespace citrongrade
